package specifier

// TeamSlots is a number of slots of one team. Slots may be fractional, because it is a share of all slots of a service.
type TeamSlots struct {
	Team  string
	Slots float64
}
