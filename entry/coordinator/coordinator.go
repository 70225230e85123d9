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
	// decisionTimeout is how long a caller waits for a decision of the controllers before the entry answers that
	// they did not decide.
	decisionTimeout = 5 * time.Second
	// recordTimeout is how long a failure waits to be recorded before the entry answers without a record.
	recordTimeout = time.Second
	// answerRetention is how long the entry keeps an answer. A job that is resubmitted later collects its results from the agents.
	answerRetention = 30 * time.Second
	// minRetryInterval and maxRetryInterval limit the wait before a job is proposed again.
	minRetryInterval = 20 * time.Millisecond
	maxRetryInterval = 400 * time.Millisecond
)

// Coordinator is the control state of an entry. Exported fields are set before the first Step.
type Coordinator struct {
	// MaxJobs bounds the jobs in memory. Recorded answers are evicted for new jobs; if there are none, new jobs are refused
	// without a lookup of their key.
	MaxJobs   int
	Rand      *rand.Rand // source of the retry jitter
	Scheduler *scheduler.Scheduler

	self           specifier.Identity
	jobs           map[specifier.JobID]*job
	cancels        map[specifier.JobID][]Waiter     // requests that wait for the decision on CancelJob
	recordedJobs   container.Queue[specifier.JobID] // jobs whose answer is recorded, oldest first
	timers         container.Heap[timer]
	configuration  specifier.Configuration
	agents         map[specifier.Identity]specifier.Member // Up or Draining
	memberVersion  uint64
	connected      map[specifier.Identity]bool
	lastMark       uint64 // number of the last assignment or fence
	draining       bool
	drainedPending bool                        // Drained is due once the entry is idle
	leaving        map[specifier.Identity]bool // agents that wait for ReleaseAgent
	actions        []Action
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
		connected: make(map[specifier.Identity]bool),
		leaving:   make(map[specifier.Identity]bool),
	}
}

// Step handles one event.
func (c *Coordinator) Step(now time.Time, event Event) []Action {
	c.actions = nil
	switch event := event.(type) {
	case Submitted:
		c.submitted(now, event)
	case AnswerRequested:
		c.answerRequested(now, event)
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
	case ReportReceived:
		c.reportReceived(now, event)
	case LoadReceived:
		c.Scheduler.UpdateLoad(now, event.Agent, event.Load)
	case AgentConnected:
		c.agentConnected(now, event.Agent)
	case AgentDisconnected:
		delete(c.connected, event.Agent)
		delete(c.leaving, event.Agent)
		c.Scheduler.SetConnected(now, event.Agent, false)
	case MembersChanged:
		c.membersChanged(now, event)
	case Configured:
		c.configured(now, event.Configuration)
	case Identified:
		if c.self != event.Self {
			c.relinquishJobs(now)
			c.self = event.Self
		}
		c.reportNeeds()
	case AgentLeaving:
		c.agentLeaving(now, event.Agent)
	case Pinged:
		c.actions = append(c.actions, Reply{Waiter: event.Waiter})
	case SharesGranted:
		c.sharesGranted(now, event)
	case DrainRequested:
		c.drain()
	}
	c.dispatch(now)
	c.releaseAgents()
	c.reportDrained()
	return c.actions
}

// Expire handles the timers that are due.
func (c *Coordinator) Expire(now time.Time) []Action {
	c.actions = nil
	for {
		next, ok := c.timers.Peek()
		if !ok || next.at.After(now) {
			break
		}
		c.timers.Pop()
		if job := c.jobs[next.job]; job != nil {
			c.handleDeadlines(now, job)
		}
	}
	c.dispatch(now)
	c.releaseAgents()
	c.reportDrained()
	return c.actions
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

// dispatch sends the tasks for which agents have free slots.
func (c *Coordinator) dispatch(now time.Time) {
	for _, assigned := range c.Scheduler.Dispatch(now) {
		job := c.jobs[assigned.Item.Key.Job]
		if job == nil || job.phase != running {
			continue
		}
		i := job.index[assigned.Item.Key.Task]
		c.lastMark++
		job.tasks[i].agent, job.tasks[i].mark = assigned.Agent, c.lastMark
		c.recordEvent(recorder.TaskAssigned, job, assigned.Item.Key.Task, assigned.Agent.Name, "")
		c.actions = append(c.actions, Assign{Agent: assigned.Agent, Key: assigned.Item.Key, Epoch: job.epoch, Payload: job.spec.Tasks[i].Payload,
			Order: assigned.Item.Order.At, Deadline: job.spec.Deadline, Profile: job.spec.Profile})
	}
}

// handleDeadlines handles the job's deadlines that have passed.
func (c *Coordinator) handleDeadlines(now time.Time, job *job) {
	expired := !job.spec.Deadline.After(now)
	switch job.phase {
	case refusing, proposing, stale, backingOff:
		switch {
		case expired || !job.undecidedSince.Add(decisionTimeout).After(now):
			c.answerAll(now, job, specifier.Fail(specifier.Unavailable,
				"the controllers did not decide in time; an earlier submission under this key may have run", true))
			delete(c.jobs, job.spec.ID)
		case job.phase == backingOff && !job.retryAt.After(now):
			c.propose(now, job)
		}
	case attached:
		if expired {
			c.answerAll(now, job, specifier.Fail(specifier.StillRunning, "another entry runs the job past this deadline", true))
			delete(c.jobs, job.spec.ID)
		}
	case collecting:
		if expired && job.resultsOnly {
			c.answerAll(now, job, specifier.Fail(specifier.ResultsLost, "the job completed, but its results could not be collected in time", true))
			delete(c.jobs, job.spec.ID)
		} else if expired {
			c.fail(now, job, specifier.OwnerLost, "the deadline passed before every worker had reported what the lost entry had started")
		}
	case running:
		if expired {
			c.fail(now, job, specifier.TimedOut, "the deadline passed")
		}
	case recording:
		if !job.recordBy.After(now) {
			job.answer = unrecordedAnswer(job.answer)
			c.answerAll(now, job, job.answer)
			delete(c.jobs, job.spec.ID)
		}
	case answered:
		if !job.keepUntil.After(now) && job.recorded {
			delete(c.jobs, job.spec.ID)
		} else if !job.keepUntil.After(now) {
			c.setTimer(job, now.Add(answerRetention))
		}
	}
}

// unrecordedAnswer turns an answer that the controllers have not recorded into one that stays true
// if another entry takes over the job and completes it.
func unrecordedAnswer(answer specifier.Answer) specifier.Answer {
	return specifier.Fail(specifier.Unavailable, "the outcome could not be recorded: "+string(answer.Reason)+": "+answer.Detail, true)
}

func (c *Coordinator) setTimer(job *job, at time.Time) {
	c.timers.Push(timer{at: at, job: job.spec.ID})
}

func (c *Coordinator) recordEvent(kind recorder.Kind, job *job, task, other, detail string) {
	c.actions = append(c.actions, RecordEvent{recorder.Event{Kind: kind, Job: job.spec.ID, Task: task, Epoch: job.epoch, Other: other, Detail: detail}})
}

// answerAll answers every request that waits for the job.
func (c *Coordinator) answerAll(now time.Time, job *job, answer specifier.Answer) {
	job.answer = answer
	job.phase = answered
	for _, request := range job.requests {
		c.reply(job, request)
	}
	job.requests = nil
}

func (c *Coordinator) reply(job *job, to request) {
	if to.caller {
		c.recordEvent(recorder.JobAnswered, job, "", "", recorder.FormatAnswer(job.answer))
	}
	c.actions = append(c.actions, Reply{Waiter: to.waiter, Job: job.spec.ID, Answer: job.answer})
}
