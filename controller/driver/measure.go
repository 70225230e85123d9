package driver

// Measure asks for the figures of this controller, whether it leads or not.
type Measure struct {
	Ticket uint64
}
