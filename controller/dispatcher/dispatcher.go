package dispatcher

import (
	"time"

	"oleandertally/core/container"
	"oleandertally/core/specifier"
	"oleandertally/dispatch/estimator"
	"oleandertally/state/jobrecorder"
)

// Dispatcher is the volatile state of the leading controller and, on every controller, the replicated state of the
// queues. Exported fields are set before the first Step.
type Dispatcher struct {
	Recorder *jobrecorder.Recorder
	Settings Settings
	// Leading reports whether this controller may answer as leader.
	Leading func(now time.Time) bool
	// EnoughVoters reports whether enough controllers replicate the log for changes to be accepted.
	EnoughVoters func() bool
	// NewEstimates returns the model that predicts the run times in a pool, by names of agents and queues. Without it, the model learns
	// from the runs.
	NewEstimates func() estimator.Policy[string, string]

	now             time.Time
	actions         []Action
	leading         bool
	term            uint64
	epochs          map[string]uint64 // by agent name; rises with each new process of the agent in this term
	recoveryUntil   time.Time         // when a new leader stops waiting for the agents' lists; zero once recovery has ended
	clockAdvancedAt time.Time         // time up to which the replicated clock was advanced
	jobs            map[string]*job
	calls           map[waiter]*job // job that each waiting call belongs to
	agents          map[string]*agent
	agentsByName    []*agent // the same agents, sorted by name
	touched         []*agent // agents whose places among the workers of their pools are out of date
	pools           map[string]*pool
	poolList        []*pool // the same pools, in the order in which they appeared
	streams         map[Stream]*agent
	orphans         map[string]*run             // newest run of each task that no job claims, by task name
	unclaimedEnds   map[string]specifier.RunEnd // successful ends of tasks whose job is not known, by task name
	timers          container.Heap[timer]
	manifestWaiters map[uint64][]waiter              // calls that wait for a manifest, by its version
	orders          map[*agent]*specifier.LeaseOrder // being built in this step
	orderedAgents   []*agent                         // keys of orders, in the order of their creation
	waitingTasks    int                              // tasks that wait for a worker
	lastQueued      uint64                           // sequence number of the last task that began to wait

	announcer    announcer
	leadingSince time.Time
	trusting     bool   // in this recovery, a job that was not announced is new
	heldJobs     []*job // jobs that start nothing before the recovery has ended

	unrecordedBytes int // size of the records that are proposed and not applied

	rejectedEnds []specifier.TaskEnd // ends of tasks that the log did not accept
	retryEndsAt  time.Time           // when rejectedEnds are proposed again

	evacuations   []*evacuation  // sorted by zone
	surveyAt      time.Time      // when the waiting work is next looked through while a zone is evacuated
	strandedTasks map[string]int // by queue: tasks that waited for evacuated zones only at the last survey
}

// Step handles one event.
func (d *Dispatcher) Step(now time.Time, event Event) []Action {
	d.now = now
	if d.jobs == nil {
		d.reset()
	}
	switch event := event.(type) {
	case BecameLeader:
		d.becomeLeader(event.Term)
	case BecameFollower:
		d.reset()
	case Applied:
		d.apply(event.Command)
	case Rejected:
		d.commandRejected(event)
	case CallReceived:
		d.handleCall(event)
	case CallerDisconnected:
		d.callerDisconnected(event.Stream)
	case ReportReceived:
		d.handleReport(event)
	case AgentDisconnected:
		d.agentDisconnected(event.Stream)
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
	case due.agent != nil:
		d.expireAgent(due.agent)
	case due.returning != nil:
		d.touch(due.returning)
	case due.review != nil:
		due.review.changed = true
	}
}

// flush starts the tasks that fit and returns the collected actions.
func (d *Dispatcher) flush() []Action {
	if d.leading && d.Leading(d.now) {
		d.endRecovery()
		d.retryRejectedEnds()
		d.proposeAnnouncements()
		d.confirmZones()
		d.survey()
		d.place()
	}
	for _, a := range d.orderedAgents {
		if a.stream != 0 {
			order := d.orders[a]
			order.Token, order.OrderCount = d.fence(a), a.orderCount
			order.Evacuated, order.EvacuationVersion = d.evacuated(a), d.Recorder.EvacuationVersion()
			d.emit(Order{Stream: a.stream, Order: *order})
		}
	}
	clear(d.orders)
	d.orderedAgents = d.orderedAgents[:0]
	actions := d.actions
	d.actions = nil
	return actions
}

func (d *Dispatcher) emit(action Action) { d.actions = append(d.actions, action) }

func (d *Dispatcher) wake(at time.Time, t timer) {
	t.at = at
	d.timers.Push(t)
}

// orderTo returns the order to an agent that this step is building.
func (d *Dispatcher) orderTo(a *agent) *specifier.LeaseOrder {
	order := d.orders[a]
	if order == nil {
		order = &specifier.LeaseOrder{}
		d.orders[a] = order
		d.orderedAgents = append(d.orderedAgents, a)
	}
	return order
}

// countedOrder returns the order to an agent for a start or a stop, and counts it. Reports carry the count of the orders that
// the agent has received, so that a run whose start is still under way is not considered lost.
func (d *Dispatcher) countedOrder(a *agent) *specifier.LeaseOrder {
	order := d.orderTo(a)
	if len(order.Starts) == 0 && len(order.Stops) == 0 {
		a.orderCount++
	}
	return order
}

func (d *Dispatcher) propose(command specifier.QueueCommand) {
	command.Advance = min(max(d.now.Sub(d.clockAdvancedAt), 0), specifier.MaxAdvance)
	d.clockAdvancedAt = d.now
	d.emit(Propose{Command: command})
}

func (d *Dispatcher) reply(to waiter, reply specifier.QueueReply) {
	d.emit(Reply{Stream: to.stream, Sequence: to.sequence, Reply: reply})
}
