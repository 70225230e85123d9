package responder

// Gate bounds how many requests are open at once. Use NewGate.
type Gate struct {
	places chan struct{}
}

// NewGate returns a gate with room for size requests.
func NewGate(size int) *Gate { return &Gate{places: make(chan struct{}, size)} }

// Enter reports whether there was room, without waiting for it.
func (g *Gate) Enter() bool {
	select {
	case g.places <- struct{}{}:
		return true
	default:
		return false
	}
}

// Leave gives back the place of one Enter.
func (g *Gate) Leave() { <-g.places }
