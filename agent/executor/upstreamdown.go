package executor

// UpstreamDown reports that the upstream left or its announcement lapsed.
type UpstreamDown struct{}

func (UpstreamDown) event() {}
