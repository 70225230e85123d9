package dispatcher

import (
	"time"

	"oleandertally/core/container"
	"oleandertally/core/specifier"
	"oleandertally/state/jobrecorder"
)

// Dispatcher is the volatile state of the leading controller and, on every controller, the replicated state of the
// queues. Exported fields are set before the first Step.
type Dispatcher struct {
	Recorder *jobrecorder.Recorder
	Settings Settings
	// Leading reports whether this controller may answer as leader.
	Leading func(now time.Time) bool
	// EnoughVoters reports whether enough controllers hold the log for changes to be accepted.
	EnoughVoters func() bool

	now      time.Time
	actions  []Action
	leading  bool
	term     uint64
	epochs   map[string]uint64 // processes of each agent that attached in this term
	gather   time.Time         // until when a new leader waits for the agents; zero afterwards
	advanced time.Time         // up to here, time was added to the log's clock
	jobs     map[string]*job
	calls    map[waiter]*job
	holders  map[string]*holder
	named    []*holder // the same, by name
	usables  []*holder // of the present placement
	streams  map[Stream]*holder
	orphans  map[string]*run // newest run of a task that no job claims, by task name
	finished map[string]specifier.RunEnd
	ready    readyQueue
	timers   container.Heap[timer]
	puts     map[uint64][]waiter // by version of the manifest
	order    map[*holder]*specifier.LeaseOrder
	ordered  []*holder
	waiting  int // tasks that are ready or blocked

	unrecorded []specifier.TaskEnd // that the log did not take
	recordAt   time.Time           // when they are proposed again
}

// Step handles one event.
func (d *Dispatcher) Step(now time.Time, event Event) []Action {
	d.now = now
	if d.jobs == nil {
		d.reset()
	}
	switch event := event.(type) {
	case BecameLeader:
		d.lead(event.Term)
	case BecameFollower:
		d.reset()
	case Applied:
		d.apply(event.Command)
	case Rejected:
		d.dropped(event.Command)
	case CallReceived:
		d.called(event)
	case CallerDisconnected:
		d.callerGone(event.Stream)
	case ReportReceived:
		d.reported(event)
	case AgentDisconnected:
		d.agentGone(event.Stream)
	}
	return d.flush()
}

// Expire handles the deadlines that are due.
func (d *Dispatcher) Expire(now time.Time) []Action {
	d.now = now
	for {
		next, ok := d.timers.Peek()
		if !ok || next.at.After(now) {
			break
		}
		d.timers.Pop()
		d.expire(next)
	}
	return d.flush()
}

// Next returns the earliest deadline.
func (d *Dispatcher) Next() time.Time {
	next, ok := d.timers.Peek()
	if !ok {
		return time.Time{}
	}
	return next.at
}

func (d *Dispatcher) expire(due timer) {
	switch {
	case !d.leading:
	case due.job != nil:
		d.expireJob(due.job)
	case due.run != nil:
		d.expireRun(due.run)
	case due.holder != nil:
		d.expireHolder(due.holder)
	}
}

// flush places tasks and returns the actions.
func (d *Dispatcher) flush() []Action {
	if d.leading && d.Leading(d.now) {
		d.endGather()
		d.recordUnrecorded()
		d.place()
	}
	for _, h := range d.ordered {
		if h.stream != 0 {
			order := d.order[h]
			order.Token, order.Orders = d.fence(h), h.orders
			d.emit(Order{Stream: h.stream, Order: *order})
		}
	}
	clear(d.order)
	d.ordered = d.ordered[:0]
	actions := d.actions
	d.actions = nil
	return actions
}

func (d *Dispatcher) emit(action Action) { d.actions = append(d.actions, action) }

func (d *Dispatcher) wake(at time.Time, t timer) {
	t.at = at
	d.timers.Push(t)
}

// orderTo returns the order that is being made for an agent in this step.
func (d *Dispatcher) orderTo(h *holder) *specifier.LeaseOrder {
	order := d.order[h]
	if order == nil {
		order = &specifier.LeaseOrder{}
		d.order[h] = order
		d.ordered = append(d.ordered, h)
	}
	return order
}

// command returns the order for a start or a stop, which is counted.
func (d *Dispatcher) command(h *holder) *specifier.LeaseOrder {
	order := d.orderTo(h)
	if len(order.Starts) == 0 && len(order.Stops) == 0 {
		h.orders++
	}
	return order
}

func (d *Dispatcher) propose(command specifier.QueueCommand) {
	command.Advance = min(max(d.now.Sub(d.advanced), 0), specifier.MaxAdvance)
	d.advanced = d.now
	d.emit(Propose{Command: command})
}

func (d *Dispatcher) reply(to waiter, reply specifier.QueueReply) {
	d.emit(Reply{Stream: to.stream, Sequence: to.sequence, Reply: reply})
}
