package scheduler

import (
	"math/rand/v2"
	"slices"
	"time"

	"oleandertally/core/collector"
	"oleandertally/core/specifier"
	"oleandertally/dispatch/admitter"
	"oleandertally/dispatch/classifier"
	"oleandertally/dispatch/ejector"
	"oleandertally/dispatch/orderer"
	"oleandertally/dispatch/retrier"
)

// Engine holds the tasks of one entry until an agent has room, in the order of their keys. The placement
// is a type parameter. Zone and Seed are set before use; the zero value of the others is ready. It is used
// by one goroutine.
type Engine[P any, T Placement[P]] struct {
	Zone string // of this entry
	Seed uint64 // of the random choices; entries must have different seeds
	// Admission decides on new jobs; default admitter.ByFinish.
	Admission admitter.Policy

	placement  P
	random     *rand.Rand
	agents     map[specifier.Identity]*agent
	pools      map[string]*pool
	order      []*pool // by service
	jobs       map[specifier.JobID]*job
	profiles   map[string]specifier.Profile
	classifier classifier.Classifier
	entries    int
	teams      map[string]specifier.Team
	ejector    ejector.Ejector[breaker, *breaker]
	retrier    retrier.Retrier
	delayed    collector.Heap[delayed]
	ejected    []specifier.Identity
	lastShort  time.Time
	refreshed  time.Time
	dispatched time.Time // last call of Dispatch; Next lies after it
	slowAt     time.Time
	paced      []*agent // sent paceTasks tasks lately, oldest first
	spare      []*task
	sending    []Assignment // the buffer that Dispatch returns
}

const (
	// refreshEvery is how often room that depends on the age of reports is computed again while tasks wait.
	refreshEvery = 20 * time.Millisecond
	// slowEvery is how often running tasks are looked at: often against the seconds that a straggler takes, rarely
	// enough to cost under a thousandth of a core at 940 agents.
	slowEvery = 250 * time.Millisecond
	// queueTime is what a task may wait at its agent before it starts; 99% start sooner.
	queueTime = 500 * time.Millisecond
	// refusalPause is how long an agent that refused a task gets none: its upstream is absent or it is draining, and
	// the report or record of this is on its way.
	refusalPause = 100 * time.Millisecond
	// unlearnedShare of the time left lets a job of a profile that has not run through admission.
	unlearnedShare = 0.1
	// urgentWithin is how far ahead a key may lie to count as nearly due. A job of 10 tasks is so on arrival.
	urgentWithin = time.Second
	// lendAfter is how long no short work must have arrived before long work may take more than its share.
	lendAfter = time.Second
)

func (e *Engine[P, T]) init() {
	if e.agents != nil {
		return
	}
	e.agents = make(map[specifier.Identity]*agent)
	e.pools = make(map[string]*pool)
	e.jobs = make(map[specifier.JobID]*job)
	e.profiles = make(map[string]specifier.Profile)
	if e.Admission == nil {
		e.Admission = admitter.ByFinish{}
	}
	e.random = rand.New(rand.NewPCG(e.Seed, 0))
	e.retrier.Random = e.random
	e.delayed.Less = func(a, b delayed) bool { return a.before(b) }
}

// SetLinked says whether the entry has a stream to the agent.
func (e *Engine[P, T]) SetLinked(now time.Time, id specifier.Identity, linked bool) {
	if agent := e.agents[id]; agent != nil {
		agent.linked = linked
		e.update(now, agent)
	}
}

// Enqueue adds items that may start.
func (e *Engine[P, T]) Enqueue(now time.Time, items []Item) {
	e.init()
	var delay time.Duration
	if len(items) > 0 {
		delay = e.teamDelay(now, items[0])
	}
	for _, item := range items {
		pool := e.pool(item.Service)
		job := e.job(item.Key.Job, pool)
		job.team = item.Team
		item.Order.At = item.Order.At.Add(delay)
		item.Order = item.Order.Guard(now, item.Deadline)
		e.retrier.First(item.Profile, e.profiles[item.Profile].RetryBudget)
		if e.push(now, job, item, 0) == free {
			e.lastShort = now
		}
	}
}

// push adds a task to the lane of its profile's class.
func (e *Engine[P, T]) push(now time.Time, job *job, item Item, attempts int) lane {
	typical := e.profiles[item.Profile].TypicalTime
	kind := laneOf(e.classifier.Class(item.Profile, typical))
	next := e.allocate()
	*next = task{item: item, job: job, lane: kind, attempts: attempts, expected: e.mean(item.Profile, item.Deadline.Sub(now))}
	job.pool.count(next, 1)
	job.pool.waiting[kind].Push(next)
	return kind
}

// mean returns the expected run time of a task. A declared time that is ten times too long must not keep a profile from
// ever running, and so from being learned: until then it counts as at most a part of the time left.
func (e *Engine[P, T]) mean(profile string, left time.Duration) time.Duration {
	typical := e.profiles[profile].TypicalTime
	if !e.classifier.Learned(profile) && left > 0 {
		return min(typical, time.Duration(unlearnedShare*float64(left)))
	}
	return e.classifier.Mean(profile, typical)
}

// Dispatch returns what can be sent now, in order. The slice is valid until the next call.
func (e *Engine[P, T]) Dispatch(now time.Time) []Assignment {
	e.sending = e.sending[:0]
	e.dispatched = now
	e.wake(now)
	if e.queued() == 0 {
		return nil
	}
	e.refresh(now)
	for _, pool := range e.order {
		for e.sendNext(now, pool) {
		}
	}
	return e.sending
}

// sendNext sends the first task, of either lane, for which an agent has room.
func (e *Engine[P, T]) sendNext(now time.Time, pool *pool) bool {
	first, ok := pool.peek(free)
	if second, also := pool.peek(limited); also && (!ok || second.item.Order.Less(first.item.Order)) {
		if e.send(now, pool, second) {
			return true
		}
	} else if !also || !ok {
		return ok && e.send(now, pool, first)
	} else if e.send(now, pool, first) {
		return true
	} else {
		return e.send(now, pool, second)
	}
	return ok && e.send(now, pool, first)
}

// send places the first task of a lane.
func (e *Engine[P, T]) send(now time.Time, pool *pool, next *task) bool {
	rule := e.rule(now)
	rule.patient = next.lane == limited || next.item.Order.At.Sub(now) > urgentWithin
	if next.late(now) {
		e.abandon(next.job)
		return true
	}
	agent := T(&e.placement).pick(pool, next.lane, rule, e.random)
	if agent == nil {
		return false
	}
	pool.waiting[next.lane].Pop()
	pool.count(next, -1)
	next.agent, next.sent = agent, now
	next.attempts++
	agent.held[next.item.Key] = next
	next.job.note(next)
	pool.held++
	pool.limiter.Held(next.item.Team, 1)
	pool.short.observe(now, pool.held-pool.long)
	if next.lane == limited {
		agent.long++
		pool.long++
		agent.zone.long++
	}
	if agent.pace(now); agent.paced == paceTasks {
		e.paced = append(e.paced, agent)
	}
	e.ejector.Sent(&agent.health)
	e.update(now, agent)
	e.sending = append(e.sending, Assignment{Agent: agent.member.Identity, Item: next.item})
	return true
}

func (a *agent) pace(now time.Time) {
	if now.Sub(a.paceAt) >= paceInterval {
		a.paceAt, a.paced = now, 0
	}
	a.paced++
}

// Done notes that the agent ended a task, successfully or not.
func (e *Engine[P, T]) Done(now time.Time, id specifier.Identity, key specifier.TaskKey, ok bool, runTime time.Duration) {
	agent := e.agents[id]
	if agent == nil {
		return
	}
	task, found := e.release(agent, key)
	if !found {
		return
	}
	e.judge(now, agent, task, ok, runTime)
	if ok {
		e.classifier.Record(task.item.Profile, runTime)
	}
	e.recycle(task)
	agent.pool.short.observe(now, agent.pool.held-agent.pool.long)
	e.update(now, agent)
}

// Refused notes that the agent did not start a task; it is queued again after a delay.
func (e *Engine[P, T]) Refused(now time.Time, id specifier.Identity, key specifier.TaskKey) {
	agent := e.agents[id]
	if agent == nil {
		return
	}
	agent.refusedUntil = now.Add(refusalPause)
	if task, ok := e.release(agent, key); ok {
		e.requeue(now, task)
	}
	e.update(now, agent)
}

// requeue queues a task that is proved not started. One that could only come back past its deadline is dropped: the
// coordinator ends its job at the deadline.
func (e *Engine[P, T]) requeue(now time.Time, task *task) {
	attempt := retrier.Attempt{Profile: task.item.Profile, Cause: retrier.NotStarted, Count: task.attempts, Deadline: task.item.Deadline}
	at, ok := e.retrier.Plan(now, attempt)
	if !ok {
		e.recycle(task)
		return
	}
	job := e.job(task.item.Key.Job, e.pool(task.item.Service))
	job.team = task.item.Team
	job.delayed++
	task.job = job
	e.delayed.Push(delayed{at: at, task: task})
}

// wake queues the delayed tasks whose time has come.
func (e *Engine[P, T]) wake(now time.Time) {
	for {
		next, ok := e.delayed.Peek()
		if !ok || next.at.After(now) {
			return
		}
		e.delayed.Pop()
		next.task.job.delayed--
		if !next.task.job.forgotten {
			e.push(now, next.task.job, next.task.item, next.task.attempts)
		}
		e.recycle(next.task)
	}
}

// release takes a task off an agent.
func (e *Engine[P, T]) release(agent *agent, key specifier.TaskKey) (*task, bool) {
	task, ok := agent.held[key]
	if !ok {
		return nil, false
	}
	delete(agent.held, key)
	agent.pool.held--
	agent.pool.limiter.Held(task.item.Team, -1)
	if task.lane == limited {
		agent.long--
		agent.pool.long--
		agent.zone.long--
	}
	task.job.ended(task)
	e.drop(key.Job, task.job)
	return task, true
}

// allocate returns a record for a task, one of those that were recycled if there is any.
func (e *Engine[P, T]) allocate() *task {
	last := len(e.spare) - 1
	if last < 0 {
		return &task{}
	}
	spare := e.spare[last]
	e.spare = e.spare[:last]
	return spare
}

func (e *Engine[P, T]) recycle(done *task) {
	*done = task{}
	e.spare = append(e.spare, done)
}

// Reported notes the load that an agent reported.
func (e *Engine[P, T]) Reported(now time.Time, id specifier.Identity, load specifier.Load) {
	if agent := e.agents[id]; agent != nil {
		agent.load, agent.reportedAt = load, now
		// Tasks still on their way to the agent are counted as held but are not in the report, so that
		// the others are rather believed too few: the next report corrects it.
		agent.others = max(load.Running+load.Queued-len(agent.held), 0)
		e.update(now, agent)
	}
}

// Forget drops every task of a job: those that wait, and the count of those that agents hold.
func (e *Engine[P, T]) Forget(id specifier.JobID) {
	job := e.jobs[id]
	if job == nil {
		return
	}
	e.abandon(job)
	for len(job.sent) > 0 {
		last := job.sent[len(job.sent)-1]
		e.release(last.agent, last.item.Key)
		e.recycle(last)
	}
	delete(e.jobs, id)
}

// abandon drops the waiting tasks of a job. Tasks that agents hold still count.
func (e *Engine[P, T]) abandon(job *job) {
	job.forgotten = true
	for kind := range lanes {
		job.pool.limiter.Waits(job.team, -job.waiting[kind], -job.work[kind])
		job.pool.work[kind] -= job.work[kind]
		job.work[kind] = 0
		job.pool.queued[kind] -= job.waiting[kind]
		job.waiting[kind] = 0
		job.pool.compact(kind)
	}
}

// Next returns when Dispatch should run again though no event came, or the zero time.
func (e *Engine[P, T]) Next() time.Time {
	var next time.Time
	if first, ok := e.delayed.Peek(); ok {
		next = first.at
	}
	if e.queued() == 0 {
		return next
	}
	refresh := e.refreshed.Add(refreshEvery)
	// Only an agent that still waits for its pace counts, and only after the last dispatch: a time that Dispatch has
	// handled must not come again, or the caller's loop would spin.
	if len(e.paced) > 0 {
		if paced := e.paced[0].paceAt.Add(paceInterval); paced.Before(refresh) && paced.After(e.dispatched) {
			refresh = paced
		}
	}
	if next.IsZero() || refresh.Before(next) {
		return refresh
	}
	return next
}

// refresh computes the room of all agents again every refreshEvery, since the views age, and that of agents that were
// sent several tasks at once as soon as they may get more.
func (e *Engine[P, T]) refresh(now time.Time) {
	if now.Sub(e.refreshed) >= refreshEvery {
		e.refreshed = now
		e.paced = e.paced[:0]
		slow := now.Sub(e.slowAt) >= slowEvery
		if slow {
			e.slowAt = now
		}
		for _, pool := range e.order {
			for _, agent := range pool.agents {
				if slow {
					e.findSlow(now, agent)
				}
				e.update(now, agent)
			}
		}
		return
	}
	for len(e.paced) > 0 && now.Sub(e.paced[0].paceAt) >= paceInterval {
		e.update(now, e.paced[0])
		e.paced = slices.Delete(e.paced, 0, 1)
	}
}

// update moves an agent to the level of its room.
func (e *Engine[P, T]) update(now time.Time, agent *agent) {
	room := T(&e.placement).room(now, agent, e.rule(now))
	for kind := range lanes {
		agent.zone.index[kind].put(agent, kind, room[kind])
	}
}

func (e *Engine[P, T]) rule(now time.Time) rule {
	return rule{local: e.Zone, entries: max(e.entries, 1), longShare: orderer.DefaultLongShare, lend: now.Sub(e.lastShort) >= lendAfter}
}

func (e *Engine[P, T]) queued() int {
	total := 0
	for _, pool := range e.order {
		total += pool.queued[free] + pool.queued[limited]
	}
	return total
}

func (e *Engine[P, T]) pool(service string) *pool {
	known := e.pools[service]
	if known == nil {
		known = newPool()
		known.limiter.SetTeams(e.teams)
		e.pools[service] = known
		names := make([]string, 0, len(e.pools))
		for name := range e.pools {
			names = append(names, name)
		}
		slices.Sort(names)
		e.order = e.order[:0]
		for _, name := range names {
			e.order = append(e.order, e.pools[name])
		}
	}
	return known
}

func (e *Engine[P, T]) job(id specifier.JobID, pool *pool) *job {
	known := e.jobs[id]
	if known == nil {
		known = &job{pool: pool}
		e.jobs[id] = known
	}
	return known
}

// drop removes a job that has nothing left.
func (e *Engine[P, T]) drop(id specifier.JobID, job *job) {
	if len(job.sent) == 0 && job.delayed == 0 && !job.forgotten && job.waiting == [lanes]int{} {
		delete(e.jobs, id)
	}
}
