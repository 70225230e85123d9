package operator

// Evacuation is an order about an availability zone.
type Evacuation struct {
	Zone    string
	Restore bool // withdraws the evacuation
}
