package coordinator

import (
	"math/rand/v2"
	"time"

	"oleandertally/core/container"
	"oleandertally/core/recorder"
	"oleandertally/core/specifier"
	"oleandertally/dispatch/scheduler"
)

const (
	// decideBound is how long a caller waits for the controllers before it is told that
	// they can't be reached.
	decideBound = 5 * time.Second
	// recordBound is how long a failure waits to be recorded before it is answered.
	recordBound = time.Second
	// answerRetention is how long an answer is kept here; later repeats collect it from the agents.
	answerRetention = 30 * time.Second
	// retryFirst and retryMost bound the wait before a job is proposed again.
	retryFirst = 20 * time.Millisecond
	retryMost  = 400 * time.Millisecond
)

// Coordinator is the control state of an entry. Exported fields are set before the first Step.
type Coordinator struct {
	MaxJobs   int        // jobs held at once, of which those that are not answered count first; more are not even looked up
	Rand      *rand.Rand // jitter
	Scheduler *scheduler.Scheduler

	self          specifier.Identity
	jobs          map[specifier.JobID]*job
	cancels       map[specifier.JobID][]Waiter     // wait for CancelJob
	settledJobs   container.Queue[specifier.JobID] // answered and recorded, oldest first
	timers        container.Heap[timer]
	configuration specifier.Configuration
	agents        map[specifier.Identity]specifier.Member // Up or Draining
	memberVersion uint64
	linked        map[specifier.Identity]bool
	mark          uint64 // counts assignments and fences
	draining      bool
	drainAsked    bool                        // Drained is still to be said
	leaving       map[specifier.Identity]bool // agents that wait to be released
	out           []Action
}

// New returns a coordinator that knows no members and no configuration.
func New(maxJobs int, source *rand.Rand, scheduler *scheduler.Scheduler) *Coordinator {
	return &Coordinator{
		MaxJobs:   maxJobs,
		Rand:      source,
		Scheduler: scheduler,
		jobs:      make(map[specifier.JobID]*job),
		cancels:   make(map[specifier.JobID][]Waiter),
		timers:    container.Heap[timer]{Less: timer.less},
		agents:    make(map[specifier.Identity]specifier.Member),
		linked:    make(map[specifier.Identity]bool),
		leaving:   make(map[specifier.Identity]bool),
	}
}

// Step handles one event.
func (c *Coordinator) Step(now time.Time, event Event) []Action {
	c.out = nil
	switch event := event.(type) {
	case Submitted:
		c.submitted(now, event)
	case Awaited:
		c.awaited(now, event)
	case CancelRequested:
		c.cancelRequested(now, event)
	case Abandoned:
		c.abandoned(event)
	case Decided:
		c.decided(now, event)
	case OwnerAnswered:
		c.ownerAnswered(now, event)
	case TaskDone:
		c.taskDone(now, event)
	case TaskRefused:
		c.taskRefused(now, event)
	case Reported:
		c.reported(now, event)
	case Loaded:
		c.Scheduler.UpdateLoad(now, event.Agent, event.Load)
	case AgentLinked:
		c.agentLinked(now, event.Agent)
	case AgentUnlinked:
		delete(c.linked, event.Agent)
		delete(c.leaving, event.Agent)
		c.Scheduler.SetConnected(now, event.Agent, false)
	case MembersChanged:
		c.membersChanged(now, event)
	case Configured:
		c.configured(now, event.Configuration)
	case Identified:
		if c.self != event.Self {
			c.disown(now)
			c.self = event.Self
		}
		c.reportNeeds()
	case AgentLeaving:
		c.agentLeaving(now, event.Agent)
	case Pinged:
		c.out = append(c.out, Reply{Waiter: event.Waiter})
	case SharesGranted:
		c.sharesGranted(now, event)
	case Draining:
		c.drain()
	}
	c.dispatch(now)
	c.release()
	c.reportDrained()
	return c.out
}

// Expire handles the timers that are due.
func (c *Coordinator) Expire(now time.Time) []Action {
	c.out = nil
	for {
		next, ok := c.timers.Peek()
		if !ok || next.at.After(now) {
			break
		}
		c.timers.Pop()
		if job := c.jobs[next.job]; job != nil {
			c.wake(now, job)
		}
	}
	c.dispatch(now)
	c.release()
	c.reportDrained()
	return c.out
}

// Next returns the earliest deadline.
func (c *Coordinator) Next() time.Time {
	due := c.Scheduler.Next()
	if next, ok := c.timers.Peek(); ok && (due.IsZero() || next.at.Before(due)) {
		return next.at
	}
	return due
}

// Idle reports whether every job is answered and recorded.
func (c *Coordinator) Idle() bool {
	for _, job := range c.jobs {
		if job.phase != answered || !job.recorded {
			return false
		}
	}
	return len(c.cancels) == 0
}

// dispatch sends what agents have room for.
func (c *Coordinator) dispatch(now time.Time) {
	for _, each := range c.Scheduler.Dispatch(now) {
		job := c.jobs[each.Item.Key.Job]
		if job == nil || job.phase != running {
			continue
		}
		i := job.index[each.Item.Key.Task]
		c.mark++
		job.slots[i].held, job.slots[i].mark = each.Agent, c.mark
		c.note(recorder.TaskAssigned, job, each.Item.Key.Task, each.Agent.Name, "")
		c.out = append(c.out, Assign{Agent: each.Agent, Key: each.Item.Key, Epoch: job.epoch, Payload: job.spec.Tasks[i].Payload,
			Order: each.Item.Order.At, Deadline: job.spec.Deadline, Profile: job.spec.Profile})
	}
}

// wake handles whatever is due for the job.
func (c *Coordinator) wake(now time.Time, job *job) {
	late := !job.spec.Deadline.After(now)
	switch job.phase {
	case refusing, proposing, stale, backingOff:
		switch {
		case late || !job.silent.Add(decideBound).After(now):
			c.give(now, job, specifier.Fail(specifier.Unavailable,
				"the controllers did not decide in time; an earlier submission under this key may have run", true))
			delete(c.jobs, job.spec.ID)
		case job.phase == backingOff && !job.retryAt.After(now):
			c.propose(now, job)
		}
	case attached:
		if late {
			c.give(now, job, specifier.Fail(specifier.StillRunning, "another entry runs the job past this deadline", true))
			delete(c.jobs, job.spec.ID)
		}
	case collecting:
		if late && job.fetched {
			c.give(now, job, specifier.Fail(specifier.ResultsLost, "the job completed, but its results could not be collected in time", true))
			delete(c.jobs, job.spec.ID)
		} else if late {
			c.fail(now, job, specifier.OwnerLost, "the deadline passed before every worker had reported what the lost entry had started")
		}
	case running:
		if late {
			c.fail(now, job, specifier.TimedOut, "the deadline passed")
		}
	case recording:
		if !job.recordBy.After(now) {
			job.answer = unrecorded(job.answer)
			c.give(now, job, job.answer)
			delete(c.jobs, job.spec.ID)
		}
	case answered:
		if !job.keep.After(now) && job.recorded {
			delete(c.jobs, job.spec.ID)
		} else if !job.keep.After(now) {
			c.wakeAt(job, now.Add(answerRetention))
		}
	}
}

// unrecorded turns an answer that the controllers have not recorded into one that stays true
// if another entry takes the job over and completes it.
func unrecorded(answer specifier.Answer) specifier.Answer {
	return specifier.Fail(specifier.Unavailable, "the outcome could not be recorded: "+string(answer.Reason)+": "+answer.Detail, true)
}

func (c *Coordinator) wakeAt(job *job, at time.Time) {
	c.timers.Push(timer{at: at, job: job.spec.ID})
}

func (c *Coordinator) note(kind recorder.Kind, job *job, task, other, detail string) {
	c.out = append(c.out, Note{recorder.Event{Kind: kind, Job: job.spec.ID, Task: task, Epoch: job.epoch, Other: other, Detail: detail}})
}

// give answers every waiter of the job.
func (c *Coordinator) give(now time.Time, job *job, answer specifier.Answer) {
	job.answer = answer
	job.phase = answered
	for _, waiting := range job.waiters {
		c.reply(job, waiting)
	}
	job.waiters = nil
}

func (c *Coordinator) reply(job *job, to waiting) {
	if to.caller {
		c.note(recorder.JobAnswered, job, "", "", recorder.AnswerDetail(job.answer))
	}
	c.out = append(c.out, Reply{Waiter: to.waiter, Job: job.spec.ID, Answer: job.answer})
}
