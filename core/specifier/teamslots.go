package specifier

// TeamSlots is a number of slots of one team. It need not be whole: it is a share of a fleet.
type TeamSlots struct {
	Team  string
	Slots float64
}
