package ejector

// State is how a worker is treated.
type State uint8

// The states of a worker.
const (
	Healthy   State = iota
	Ejected         // gets nothing until its time is over
	Probing         // half open: gets one task
	Returning       // gets more with each success
)
