package executor

// Pinged asks for Ponged with the same number, which shows that the control goroutine handles events.
type Pinged struct {
	Number uint64
}

func (Pinged) event() {}
