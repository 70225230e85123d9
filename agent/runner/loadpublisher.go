package runner

import (
	"sync/atomic"
	"time"

	"oleandertally/agent/executor"
	"oleandertally/core/specifier"
)

// loadPublisher wraps the executor and publishes its load after each step, for the goroutine that sends heartbeats.
type loadPublisher struct {
	*executor.Executor
	load atomic.Pointer[specifier.Load]
}

// Step handles one event.
func (p *loadPublisher) Step(now time.Time, event executor.Event) []executor.Action {
	actions := p.Executor.Step(now, event)
	p.publish()
	return actions
}

// Expire handles the deadlines that are due.
func (p *loadPublisher) Expire(now time.Time) []executor.Action {
	actions := p.Executor.Expire(now)
	p.publish()
	return actions
}

func (p *loadPublisher) publish() {
	load := p.Executor.Load()
	p.load.Store(&load)
}
