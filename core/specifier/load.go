package specifier

// Load is an agent's own count of its work, carried on each message that it sends.
type Load struct {
	Slots   int // 0 while the upstream is absent or draining
	Running int
	Queued  int
}
