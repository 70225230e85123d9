package specifier

// ServiceShare lists the slots of one service that teams need, or are granted, at one entry.
type ServiceShare struct {
	Service   string
	Contended bool        // all entries together need more slots than there are
	Teams     []TeamSlots // by team
}
