package ejector

// State decides how many tasks a worker may get.
type State uint8

// The states of a worker.
const (
	Healthy   State = iota
	Ejected         // gets no tasks until the ejection ends
	Probing         // half open: gets one task as a probe
	Returning       // gets one more concurrent task with each success
)
