package specifier

// ServiceShare is the slots of one service that teams need, or may count on, at one entry.
type ServiceShare struct {
	Service   string
	Contended bool        // all entries together need more slots than there are
	Teams     []TeamSlots // by team
}
