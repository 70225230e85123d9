package specifier

import "time"

// Batch is the content of one log entry. Advance is the time that passed on the leader's clock
// since its previous batch: the sum of all advances is the log's own clock, on which
// retention is counted, so that clocks of different hosts are never compared.
type Batch struct {
	Advance  time.Duration
	Commands []Command
	// MaxSubmissions is the leader's bound on remembered submissions. It is part of the log because
	// decisions depend on it: replicas with bounds of their own would decide differently. 0 leaves
	// the former bound.
	MaxSubmissions int
	// Queue holds changes of the queues.
	QueueCommands []QueueCommand
}
