package journaler

import (
	"context"

	"oleandertally/core/looper"
)

// Syncer commits requests on a goroutine of its own. Everything that waits while one sync runs
// shares the next one. Fields are set before Run.
type Syncer struct {
	Journal *Journal
	// Report is told the number of the last request that survives a crash, on the goroutine of Run.
	Report func(write uint64)
	Queue  *looper.Outbox[Request]
}

// Run returns the context's error when ctx ends and ErrFailed when the journal fails; the
// process must stop then. Requests that were not reported may or may not survive.
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
