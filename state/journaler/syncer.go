package journaler

import (
	"context"

	"oleandertally/core/looper"
)

// Syncer commits queued requests to the journal. Requests that arrive during a sync share the
// next one (group commit). Fields are set before Run.
type Syncer struct {
	Journal *Journal
	// Report is called on the goroutine of Run with the Write number of the last durable request.
	Report func(write uint64)
	Queue  *looper.Outbox[Request]
}

// Run commits requests until ctx ends and returns its error. It returns ErrFailed if the journal
// fails; the process must then stop. Unreported requests may or may not be durable.
func (s *Syncer) Run(ctx context.Context) error {
	for {
		requests, err := s.Queue.Take(ctx)
		if err != nil {
			return err
		}
		operations := make([]Operation, len(requests))
		var write uint64
		for i, request := range requests {
			operations[i] = request.Operation
			write = max(write, request.Write)
		}
		if err := s.Journal.Commit(operations...); err != nil {
			return err
		}
		if write > 0 {
			s.Report(write)
		}
	}
}
