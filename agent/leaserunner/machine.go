package leaserunner

import (
	"time"

	"oleandertally/agent/leaseholder"
	"oleandertally/core/encoder"
	"oleandertally/core/looper"
)

// machine is the lease holder together with the current stream to the controller.
type machine struct {
	holder  *leaseholder.LeaseHolder
	outbox  *looper.Outbox[*encoder.QueueReport]
	waiting []chan<- struct{} // closed once the worker is idle
}

// Step handles one event.
func (m *machine) Step(now time.Time, e event) []action {
	switch {
	case e.idle != nil:
		m.waiting = append(m.waiting, e.idle)
		return m.wrap(m.holder.Step(now, leaseholder.Leave{}))
	case e.outbox != nil:
		m.outbox = e.outbox
		return m.wrap(m.holder.Step(now, leaseholder.Connected{}))
	case e.disconnected:
		m.outbox = nil
		return m.wrap(m.holder.Step(now, leaseholder.Disconnected{}))
	}
	return m.wrap(m.holder.Step(now, e.control))
}

// Expire handles the deadlines that are due.
func (m *machine) Expire(now time.Time) []action { return m.wrap(m.holder.Expire(now)) }

// Next returns the earliest deadline.
func (m *machine) Next() time.Time { return m.holder.Next() }

func (m *machine) wrap(list []leaseholder.Action) []action {
	var out []action
	for _, each := range list {
		out = append(out, action{control: each, outbox: m.outbox})
	}
	if m.holder.Idle() {
		for _, idle := range m.waiting {
			out = append(out, action{idle: idle})
		}
		m.waiting = nil
	}
	return out
}
