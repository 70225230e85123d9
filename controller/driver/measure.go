package driver

// Measure asks for the figures of this controller, whether it leads or not.
type Measure struct {
	Ticket uint64
	// Waiting asks for the waiting tasks too, for which every waiting job is looked at.
	Waiting bool
}
