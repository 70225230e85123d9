package specifier

// Load is an agent's count of its slots and tasks, sent with each of its messages.
type Load struct {
	Slots   int // 0 while the upstream is absent or draining
	Running int
	Queued  int
}
