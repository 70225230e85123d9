package runner

import (
	"time"

	"oleandertally/core/exporter"
	"oleandertally/core/recorder"
	"oleandertally/core/specifier"
	"oleandertally/dispatch/classifier"
	"oleandertally/entry/coordinator"
)

// minSweepSize is the least number of measured jobs at which the meter removes jobs past their deadline. A job never gets
// a reply if its callers disconnected before the controllers decided.
const minSweepSize = 1024

// meter wraps the coordinator and derives metrics from its events and actions. It runs on the control goroutine and
// does not block.
type meter struct {
	coordinator *coordinator.Coordinator
	metrics     *exporter.Entry

	waiters    map[coordinator.Waiter]callerRequest
	jobs       map[specifier.JobID]*measuredJob
	sweepSize  int
	queued     map[exporter.Class]int
	profiles   map[string]specifier.Profile
	slots      map[string]int // by service
	classifier classifier.Classifier
}

func newMeter(machine *coordinator.Coordinator, metrics *exporter.Entry) *meter {
	return &meter{coordinator: machine, metrics: metrics, waiters: make(map[coordinator.Waiter]callerRequest),
		jobs: make(map[specifier.JobID]*measuredJob), sweepSize: minSweepSize, queued: make(map[exporter.Class]int), slots: make(map[string]int)}
}

// Step handles one event.
func (m *meter) Step(now time.Time, event coordinator.Event) []coordinator.Action {
	m.observeEvent(now, event)
	return m.observeActions(now, m.coordinator.Step(now, event))
}

// Expire handles the timers that are due.
func (m *meter) Expire(now time.Time) []coordinator.Action {
	return m.observeActions(now, m.coordinator.Expire(now))
}

// Next returns the earliest deadline.
func (m *meter) Next() time.Time { return m.coordinator.Next() }

func (m *meter) observeEvent(now time.Time, event coordinator.Event) {
	switch event := event.(type) {
	case coordinator.Submitted:
		m.submitted(now, event)
	case coordinator.Abandoned:
		delete(m.waiters, event.Waiter)
	case coordinator.TaskDone:
		m.taskDone(event)
	case coordinator.Decided:
		if command, ok := event.Command.(specifier.AcceptJob); ok {
			m.decided(now, command.Job)
		}
	case coordinator.Configured:
		m.profiles = event.Configuration.Profiles
		m.metrics.SetRevision(event.Configuration.Revision)
	case coordinator.MembersChanged:
		clear(m.slots)
		for _, member := range event.Members {
			if member.Role == specifier.Agent && member.State != specifier.Down {
				m.slots[member.Service] += member.Slots
			}
		}
	}
}

func (m *meter) submitted(now time.Time, e coordinator.Submitted) {
	m.waiters[e.Waiter] = callerRequest{arrival: now, deadline: e.Job.Deadline}
	if m.jobs[e.Job.ID] != nil {
		return
	}
	if len(m.jobs) >= m.sweepSize {
		for id, job := range m.jobs {
			if job.deadline.Before(now) {
				m.removeJob(id)
			}
		}
		m.sweepSize = max(2*len(m.jobs), minSweepSize)
	}
	m.jobs[e.Job.ID] = &measuredJob{profile: e.Job.Profile, deadline: e.Job.Deadline, tasks: len(e.Job.Tasks), sent: make(map[string]time.Time)}
}

func (m *meter) taskDone(e coordinator.TaskDone) {
	job := m.jobs[e.Key.Job]
	if job == nil || e.Broken {
		return
	}
	m.classifier.Record(job.profile, e.RunTime)
	job.longest = max(job.longest, e.RunTime)
	job.total += e.RunTime
}

func (m *meter) decided(now time.Time, id specifier.JobID) {
	if job := m.jobs[id]; job != nil && !job.proposed.IsZero() {
		m.metrics.Recorded(now.Sub(job.proposed))
		job.proposed = time.Time{}
	}
}

func (m *meter) observeActions(now time.Time, actions []coordinator.Action) []coordinator.Action {
	for range m.coordinator.Scheduler.Ejections() {
		m.metrics.Ejected()
	}
	for _, action := range actions {
		switch action := action.(type) {
		case coordinator.RecordEvent:
			if job := m.jobs[action.Event.Job]; job != nil {
				m.eventRecorded(now, job, action.Event)
			}
		case coordinator.Reply:
			m.replied(now, action)
		case coordinator.Propose:
			if finish, ok := action.Command.(specifier.FinishJob); ok && m.jobs[finish.Job] != nil {
				m.setWaiting(m.jobs[finish.Job], 0)
			}
		}
	}
	return actions
}

func (m *meter) eventRecorded(now time.Time, job *measuredJob, event recorder.Event) {
	switch event.Kind {
	case recorder.JobProposed:
		job.proposed = now
		m.setWaiting(job, 0)
	case recorder.JobTaken:
		job.class = m.classOf(job.profile)
	case recorder.JobAccepted:
		job.class = m.classOf(job.profile)
		job.accepted = now
		m.setWaiting(job, job.tasks)
	case recorder.TaskAssigned:
		m.assigned(now, job, event.Task)
	case recorder.TaskReturned:
		if recorder.IsRefusal(event) {
			m.metrics.Refused()
			job.sent[event.Task] = now
			m.setWaiting(job, job.waiting+1)
		}
	}
}

// assigned records how long a task waited since its job was accepted, or since an agent last refused the task.
func (m *meter) assigned(now time.Time, job *measuredJob, task string) {
	since, resent := job.sent[task]
	if resent {
		m.metrics.Retried()
	} else if since = job.accepted; since.IsZero() {
		since = now // the job was taken over
	}
	m.metrics.Assigned(job.class, now.Sub(since))
	job.sent[task] = now
	m.setWaiting(job, max(job.waiting-1, 0))
}

func (m *meter) replied(now time.Time, reply coordinator.Reply) {
	request, ok := m.waiters[reply.Waiter]
	if !ok {
		return // the reply is to another entry, a cancellation or a probe
	}
	delete(m.waiters, reply.Waiter)
	m.metrics.Answered(reply.Answer.Outcome, reply.Answer.Reason)
	if reply.Answer.Outcome == specifier.Complete {
		class, ideal := m.ideal(reply.Job)
		m.metrics.Completed(class, now.Sub(request.arrival), ideal, request.deadline.Sub(now))
	}
	m.removeJob(reply.Job)
}

// ideal returns the class of the job's longest task, and the time that the job would take if all slots of
// its service ran nothing else. The time is 0 if no task of the job ran for this entry.
func (m *meter) ideal(id specifier.JobID) (exporter.Class, time.Duration) {
	job := m.jobs[id]
	if job == nil {
		return exporter.Short, 0
	}
	slots := max(m.slots[m.profiles[job.profile].Service], 1)
	return classes[classifier.ClassOf(job.longest)], max(job.longest, job.total/time.Duration(slots))
}

func (m *meter) removeJob(id specifier.JobID) {
	if job := m.jobs[id]; job != nil {
		m.setWaiting(job, 0)
		delete(m.jobs, id)
	}
}

// setWaiting sets the number of the job's tasks that wait at this entry.
func (m *meter) setWaiting(job *measuredJob, tasks int) {
	if job.waiting == tasks {
		return
	}
	m.queued[job.class] += tasks - job.waiting
	job.waiting = tasks
	m.metrics.SetQueued(job.class, m.queued[job.class])
}

func (m *meter) classOf(profile string) exporter.Class {
	return classes[m.classifier.Class(profile, m.profiles[profile].TypicalTime)]
}

var classes = map[classifier.Class]exporter.Class{
	classifier.Short: exporter.Short, classifier.Medium: exporter.Medium, classifier.Long: exporter.Long,
}
