package answerer

// Gate limits the number of concurrent requests. Use NewGate.
type Gate struct {
	slots chan struct{}
}

// NewGate returns a gate that admits up to size concurrent requests.
func NewGate(size int) *Gate { return &Gate{slots: make(chan struct{}, size)} }

// Enter takes a slot if one is free and reports whether it did. It does not wait.
func (g *Gate) Enter() bool {
	select {
	case g.slots <- struct{}{}:
		return true
	default:
		return false
	}
}

// Leave returns the slot of one successful Enter.
func (g *Gate) Leave() { <-g.slots }
