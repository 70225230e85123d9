package coordinator

// Pinged asks for a Reply to Waiter, which shows that the control goroutine is handling events.
type Pinged struct {
	Waiter Waiter
}

func (Pinged) event() {}
