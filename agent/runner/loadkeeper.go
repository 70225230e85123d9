package runner

import (
	"sync/atomic"
	"time"

	"oleandertally/agent/executor"
	"oleandertally/core/specifier"
)

// loadKeeper is the executor with its load after each step, for the goroutine that attends.
type loadKeeper struct {
	*executor.Executor
	load atomic.Pointer[specifier.Load]
}

// Step handles one event.
func (k *loadKeeper) Step(now time.Time, event executor.Event) []executor.Action {
	actions := k.Executor.Step(now, event)
	k.keep()
	return actions
}

// Expire handles the deadlines that are due.
func (k *loadKeeper) Expire(now time.Time) []executor.Action {
	actions := k.Executor.Expire(now)
	k.keep()
	return actions
}

func (k *loadKeeper) keep() {
	load := k.Executor.Load()
	k.load.Store(&load)
}
