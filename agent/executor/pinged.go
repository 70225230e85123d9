package executor

// Pinged asks for Ponged with the same number, as a probe of the control goroutine.
type Pinged struct {
	Number uint64
}

func (Pinged) event() {}
