package coordinator

// DrainRequested makes the entry refuse new jobs; those in flight go on. Drained follows once nothing is in
// flight. Sent again, it asks again, because requests may have come in between.
type DrainRequested struct{}

func (DrainRequested) event() {}
