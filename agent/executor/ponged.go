package executor

// Ponged answers Pinged.
type Ponged struct {
	Number uint64
}

func (Ponged) action() {}
