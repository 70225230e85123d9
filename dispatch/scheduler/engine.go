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

// Engine queues the tasks of one entry, in the order of their keys, until an agent has capacity for them. The placement
// is a type parameter. Zone and Seed are set before use; the zero value of the other fields is ready to use. An Engine
// is not safe for concurrent use.
type Engine[P any, T Placement[P]] struct {
	Zone string // zone of this entry
	Seed uint64 // seed of random choices; different for each entry
	// Admission decides on new jobs; default admitter.ByFinish.
	Admission admitter.Policy

	placement     P
	random        *rand.Rand
	agents        map[specifier.Identity]*agent
	pools         map[string]*pool
	sortedPools   []*pool // by service name
	jobs          map[specifier.JobID]*job
	profiles      map[string]specifier.Profile
	classifier    classifier.Classifier
	entries       int
	teams         map[string]specifier.Team
	ejector       ejector.Ejector[breaker, *breaker]
	retrier       retrier.Retrier
	delayed       container.Heap[delayed]
	ejected       []specifier.Identity
	lastShortAt   time.Time
	refreshedAt   time.Time
	dispatchedAt  time.Time // time of the last call of Dispatch; Next returns a later time
	slowCheckedAt time.Time
	pacedAgents   []*agent // agents that were sent paceTasks tasks in their pace interval, oldest first
	spareTasks    []*task
	assignments   []Assignment // the buffer that Dispatch returns
}

const (
	// refreshInterval is the time between updates of the agents' capacity, which depends on the age of reports, while
	// tasks wait.
	refreshInterval = 20 * time.Millisecond
	// slowCheckInterval is the time between checks for slow running tasks. It is short compared to the seconds that a
	// task takes on a straggler, and long enough that the checks cost less than a thousandth of a core at 940 agents.
	slowCheckInterval = 250 * time.Millisecond
	// maxQueueTime is the allowance for the wait at an agent before a task starts; 99% of tasks start sooner.
	maxQueueTime = 500 * time.Millisecond
	// refusalDelay is the time during which an agent that refused a task is sent no tasks. The agent's upstream is absent
	// or the agent is draining, and this state has not reached the entry yet.
	refusalDelay = 100 * time.Millisecond
	// unlearnedShare is the upper limit of the expected run time of a profile without enough samples, as a share of the
	// time to the deadline. With it, the first jobs of the profile pass admission.
	unlearnedShare = 0.1
	// urgentWindow is how far ahead the time of its order key may be for a task to count as nearly due. The tasks of a job
	// of 10 tasks are nearly due on arrival.
	urgentWindow = time.Second
	// borrowDelay is the time without an arrival of short work after which long work may use more than its share.
	borrowDelay = time.Second
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

// SetConnected records whether the entry has a stream to the agent.
func (e *Engine[P, T]) SetConnected(now time.Time, id specifier.Identity, connected bool) {
	if agent := e.agents[id]; agent != nil {
		agent.connected = connected
		e.updateIndex(now, agent)
	}
}

// UpdateLoad records the load that an agent reported.
func (e *Engine[P, T]) UpdateLoad(now time.Time, id specifier.Identity, load specifier.Load) {
	if agent := e.agents[id]; agent != nil {
		agent.load, agent.reportedAt = load, now
		// Tasks in transit to the agent are counted as assigned but are not in the report, so the tasks of other entries
		// may be underestimated until the next report.
		agent.otherTasks = max(load.Running+load.Queued-len(agent.assigned), 0)
		e.updateIndex(now, agent)
	}
}

// RemoveJob removes a job with its waiting tasks, and no longer counts its tasks that are assigned to agents.
func (e *Engine[P, T]) RemoveJob(id specifier.JobID) {
	job := e.jobs[id]
	if job == nil {
		return
	}
	e.abandon(job)
	for len(job.sent) > 0 {
		last := job.sent[len(job.sent)-1]
		e.unassign(last.agent, last.item.Key)
		e.recycle(last)
	}
	delete(e.jobs, id)
}

// abandon removes the waiting tasks of a job. Tasks that are assigned to agents still count.
func (e *Engine[P, T]) abandon(job *job) {
	job.abandoned = true
	for lane := range laneCount {
		job.pool.limiter.AddWaiting(job.team, -job.waiting[lane], -job.work[lane])
		job.pool.work[lane] -= job.work[lane]
		job.work[lane] = 0
		job.pool.queued[lane] -= job.waiting[lane]
		job.waiting[lane] = 0
		job.pool.compact(lane)
	}
}

func (e *Engine[P, T]) queued() int {
	total := 0
	for _, pool := range e.sortedPools {
		total += pool.queued[shortLane] + pool.queued[longLane]
	}
	return total
}

func (e *Engine[P, T]) pool(service string) *pool {
	p := e.pools[service]
	if p == nil {
		p = newPool()
		p.limiter.SetTeams(e.teams)
		e.pools[service] = p
		names := make([]string, 0, len(e.pools))
		for name := range e.pools {
			names = append(names, name)
		}
		slices.Sort(names)
		e.sortedPools = e.sortedPools[:0]
		for _, name := range names {
			e.sortedPools = append(e.sortedPools, e.pools[name])
		}
	}
	return p
}

func (e *Engine[P, T]) job(id specifier.JobID, pool *pool) *job {
	j := e.jobs[id]
	if j == nil {
		j = &job{pool: pool}
		e.jobs[id] = j
	}
	return j
}

// removeIfEmpty removes a job that has no waiting, delayed or sent tasks.
func (e *Engine[P, T]) removeIfEmpty(id specifier.JobID, job *job) {
	if len(job.sent) == 0 && job.delayed == 0 && !job.abandoned && job.waiting == [laneCount]int{} {
		delete(e.jobs, id)
	}
}
