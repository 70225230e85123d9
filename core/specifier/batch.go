package specifier

import "time"

// Batch is the content of one log entry. Advance is the time that passed on the leader's clock
// since its previous batch. The sum of all advances is the log's clock, which measures retention,
// so that clocks of different hosts are never compared.
type Batch struct {
	Advance  time.Duration
	Commands []Command
	// MaxSubmissions is the leader's limit on remembered submissions. It is part of the log because
	// decisions depend on it: replicas with different limits would decide differently. 0 keeps the
	// previous limit.
	MaxSubmissions int
	// QueueCommands change the replicated state of the queues.
	QueueCommands []QueueCommand
}
