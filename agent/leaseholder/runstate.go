package leaseholder

// runState is the state of a run as known to the agent.
type runState uint8

const (
	runStarting   runState = iota // the call to start the run is under way
	runUnanswered                 // the answer is lost: the run may exist, or may begin until its lease ends
	runRunning
)
