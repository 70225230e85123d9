package executor

// UpstreamDown reports that the upstream withdrew its announcement.
type UpstreamDown struct{}

func (UpstreamDown) event() {}
