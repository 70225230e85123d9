package scheduler

import (
	"math/rand/v2"
	"slices"
	"time"

	"oleandertally/core/container"
	"oleandertally/core/specifier"
	"oleandertally/dispatch/admitter"
	"oleandertally/dispatch/classifier"
	"oleandertally/dispatch/ejector"
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
	delayed    container.Heap[delayed]
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

// SetConnected says whether the entry has a stream to the agent.
func (e *Engine[P, T]) SetConnected(now time.Time, id specifier.Identity, linked bool) {
	if agent := e.agents[id]; agent != nil {
		agent.linked = linked
		e.update(now, agent)
	}
}

// UpdateLoad notes the load that an agent reported.
func (e *Engine[P, T]) UpdateLoad(now time.Time, id specifier.Identity, load specifier.Load) {
	if agent := e.agents[id]; agent != nil {
		agent.load, agent.reportedAt = load, now
		// Tasks still on their way to the agent are counted as held but are not in the report, so that
		// the others are rather believed too few: the next report corrects it.
		agent.others = max(load.Running+load.Queued-len(agent.held), 0)
		e.update(now, agent)
	}
}

// RemoveJob drops every task of a job: those that wait, and the count of those that agents hold.
func (e *Engine[P, T]) RemoveJob(id specifier.JobID) {
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
		job.pool.limiter.AddWaiting(job.team, -job.waiting[kind], -job.work[kind])
		job.pool.work[kind] -= job.work[kind]
		job.work[kind] = 0
		job.pool.queued[kind] -= job.waiting[kind]
		job.waiting[kind] = 0
		job.pool.compact(kind)
	}
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
