package dispatcher

import (
	"maps"
	"slices"
	"time"

	"oleandertally/core/container"
	"oleandertally/core/specifier"
)

// reset forgets everything that only a leader knows. Calls in flight are not answered: their entries see that the
// stream ends and call the next leader.
func (d *Dispatcher) reset() {
	d.leading = false
	d.epochs = make(map[string]uint64)
	d.gather = time.Time{}
	d.jobs, d.calls = make(map[string]*job), make(map[waiter]*job)
	d.holders, d.streams = make(map[string]*holder), make(map[Stream]*holder)
	d.named = nil
	d.orphans, d.finished = make(map[string]*run), make(map[string]specifier.RunEnd)
	d.ready, d.waiting = readyQueue{}, 0
	d.timers = container.Heap[timer]{Less: earlier}
	d.puts, d.order = make(map[uint64][]waiter), make(map[*holder]*specifier.LeaseOrder)
	d.ordered, d.unrecorded = nil, nil
}

// lead begins to lead: recorded jobs go on, and nothing is started before it is known what runs.
func (d *Dispatcher) lead(term uint64) {
	d.reset()
	d.leading, d.term, d.advanced = true, term, d.now
	d.emit(LogEvent{Event: "QueuesLed", Count: len(d.Recorder.Roster())})
	if len(d.Recorder.Roster()) > 0 {
		d.gather = d.now.Add(d.Settings.GrantSpan + d.Settings.GrantMargin)
		d.wake(d.gather, timer{})
	}
	for _, id := range d.Recorder.Open() {
		record := d.Recorder.Job(id)
		queue, _ := d.Recorder.Manifest().Named(record.Job.Queue)
		j := newJob(record.Job, queue, d.now)
		j.recorded = true
		j.started = record.State == specifier.JobRunning
		d.jobs[id] = j
		j.all(func(t *task) {
			if record.Done[t.step][t.index] {
				t.state = taskDone
				j.open[t.step]--
				j.left--
			}
		})
		d.release(j)
	}
}

// fenceTerm is the factor of the term in a fencing token: a later leader's tokens are always higher.
const fenceTerm = 1 << 16

// fence returns the token of the orders to an agent. It rises with each process of the agent, so that a worker carries out no
// start of an earlier one.
func (d *Dispatcher) fence(h *holder) uint64 { return d.term*fenceTerm + d.epochs[h.name] }

// endGather ends the wait of a new leader when every agent that may run tasks has listed them, or cannot hold a
// lease any more.
func (d *Dispatcher) endGather() {
	if d.gather.IsZero() {
		return
	}
	late := !d.now.Before(d.gather)
	for _, name := range d.Recorder.Roster() {
		h := d.holders[name]
		if h != nil && h.listed && h.settled {
			continue
		}
		if !late {
			return
		}
		if h == nil || !d.now.Before(h.grantUntil.Add(d.Settings.GrantMargin)) {
			d.propose(specifier.QueueCommand{Dismiss: name})
		}
	}
	d.gather = time.Time{}
	d.emit(LogEvent{Event: "AgentsListed", Count: len(d.holders)})
	for _, name := range slices.Sorted(maps.Keys(d.orphans)) {
		d.watchOrphan(d.orphans[name])
	}
}
