package coordinator

// DrainRequested makes the entry refuse new jobs; jobs in flight continue. The coordinator answers with Drained once no
// job is in flight. A repeated event gets another Drained, since requests may have arrived in between.
type DrainRequested struct{}

func (DrainRequested) event() {}
