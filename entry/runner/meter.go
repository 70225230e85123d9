package runner

import (
	"time"

	"oleandertally/core/exporter"
	"oleandertally/core/recorder"
	"oleandertally/core/specifier"
	"oleandertally/dispatch/classifier"
	"oleandertally/entry/coordinator"
)

// sweepAt is how many measured jobs make the meter look for those that ended without a trace: their
// callers had gone before the controllers decided.
const sweepAt = 1024

// meter counts what passes through the coordinator. It runs on the control goroutine and does not block.
type meter struct {
	coordinator *coordinator.Coordinator
	metrics     *exporter.Entry

	waiters    map[coordinator.Waiter]call
	jobs       map[specifier.JobID]*measured
	sweep      int
	queued     map[exporter.Class]int
	profiles   map[string]specifier.Profile
	slots      map[string]int // by service
	classifier classifier.Classifier
}

func newMeter(machine *coordinator.Coordinator, metrics *exporter.Entry) *meter {
	return &meter{coordinator: machine, metrics: metrics, waiters: make(map[coordinator.Waiter]call),
		jobs: make(map[specifier.JobID]*measured), sweep: sweepAt, queued: make(map[exporter.Class]int), slots: make(map[string]int)}
}

// Step handles one event.
func (m *meter) Step(now time.Time, event coordinator.Event) []coordinator.Action {
	m.event(now, event)
	return m.actions(now, m.coordinator.Step(now, event))
}

// Expire handles the timers that are due.
func (m *meter) Expire(now time.Time) []coordinator.Action {
	return m.actions(now, m.coordinator.Expire(now))
}

// Next returns the earliest deadline.
func (m *meter) Next() time.Time { return m.coordinator.Next() }

func (m *meter) event(now time.Time, event coordinator.Event) {
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
	m.waiters[e.Waiter] = call{arrival: now, deadline: e.Job.Deadline}
	if m.jobs[e.Job.ID] != nil {
		return
	}
	if len(m.jobs) >= m.sweep {
		for id, job := range m.jobs {
			if job.deadline.Before(now) {
				m.forget(id)
			}
		}
		m.sweep = max(2*len(m.jobs), sweepAt)
	}
	m.jobs[e.Job.ID] = &measured{profile: e.Job.Profile, deadline: e.Job.Deadline, tasks: len(e.Job.Tasks), sent: make(map[string]time.Time)}
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

func (m *meter) actions(now time.Time, actions []coordinator.Action) []coordinator.Action {
	for range m.coordinator.Scheduler.Ejections() {
		m.metrics.Ejected()
	}
	for _, action := range actions {
		switch action := action.(type) {
		case coordinator.Note:
			if job := m.jobs[action.Event.Job]; job != nil {
				m.noted(now, job, action.Event)
			}
		case coordinator.Reply:
			m.replied(now, action)
		case coordinator.Propose:
			if finish, ok := action.Command.(specifier.FinishJob); ok && m.jobs[finish.Job] != nil {
				m.wait(m.jobs[finish.Job], 0)
			}
		}
	}
	return actions
}

func (m *meter) noted(now time.Time, job *measured, event recorder.Event) {
	switch event.Kind {
	case recorder.JobProposed:
		job.proposed = now
		m.wait(job, 0)
	case recorder.JobTaken:
		job.class = m.classOf(job.profile)
	case recorder.JobAccepted:
		job.class = m.classOf(job.profile)
		job.accepted = now
		m.wait(job, job.tasks)
	case recorder.TaskAssigned:
		m.assigned(now, job, event.Task)
	case recorder.TaskReturned:
		if recorder.IsRefusal(event) {
			m.metrics.Refused()
			job.sent[event.Task] = now
			m.wait(job, job.waiting+1)
		}
	}
}

// assigned counts a task that waited since its job was accepted, or since it was last returned.
func (m *meter) assigned(now time.Time, job *measured, task string) {
	since, again := job.sent[task]
	if again {
		m.metrics.Retried()
	} else if since = job.accepted; since.IsZero() {
		since = now // a job that was taken over
	}
	m.metrics.Assigned(job.class, now.Sub(since))
	job.sent[task] = now
	m.wait(job, max(job.waiting-1, 0))
}

func (m *meter) replied(now time.Time, reply coordinator.Reply) {
	called, ok := m.waiters[reply.Waiter]
	if !ok {
		return // another entry, a cancellation or a probe
	}
	delete(m.waiters, reply.Waiter)
	m.metrics.Answered(reply.Answer.Outcome, reply.Answer.Reason)
	if reply.Answer.Outcome == specifier.Complete {
		class, ideal := m.ideal(reply.Job)
		m.metrics.Completed(class, now.Sub(called.arrival), ideal, called.deadline.Sub(now))
	}
	m.forget(reply.Job)
}

// ideal returns the class of the job's longest task, and the time that the job takes when every slot of
// its service runs nothing else; 0 when its tasks did not run for this entry.
func (m *meter) ideal(id specifier.JobID) (exporter.Class, time.Duration) {
	job := m.jobs[id]
	if job == nil {
		return exporter.Short, 0
	}
	slots := max(m.slots[m.profiles[job.profile].Service], 1)
	return classes[classifier.ClassOf(job.longest)], max(job.longest, job.total/time.Duration(slots))
}

func (m *meter) forget(id specifier.JobID) {
	if job := m.jobs[id]; job != nil {
		m.wait(job, 0)
		delete(m.jobs, id)
	}
}

// wait sets how many tasks of the job wait here.
func (m *meter) wait(job *measured, tasks int) {
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
