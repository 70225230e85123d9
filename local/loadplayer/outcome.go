package loadplayer

// outcome is what a caller got.
type outcome uint8

const (
	outcomeDone outcome = iota
	outcomeRefused
	outcomeFailed
	outcomeUnanswered
)
