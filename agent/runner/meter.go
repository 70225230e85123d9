package runner

import (
	"time"

	"oleandertally/agent/executor"
	"oleandertally/core/exporter"
	"oleandertally/core/recorder"
	"oleandertally/core/specifier"
	"oleandertally/dispatch/classifier"
)

// meter derives metrics from the events and actions of the executor. It runs on the control goroutine and does not block.
type meter struct {
	machine machine
	metrics *exporter.Agent

	tasks      map[specifier.TaskKey]measuredTask // queued or running
	queued     map[exporter.Class]int
	classifier classifier.Classifier
}

func newMeter(machine machine, metrics *exporter.Agent) *meter {
	return &meter{machine: machine, metrics: metrics, tasks: make(map[specifier.TaskKey]measuredTask), queued: make(map[exporter.Class]int)}
}

// Step handles one event.
func (m *meter) Step(now time.Time, event executor.Event) []executor.Action {
	switch event := event.(type) {
	case executor.Assigned:
		if _, known := m.tasks[event.Key]; !known {
			m.tasks[event.Key] = measuredTask{profile: event.Profile}
		}
		defer m.deleteRefused(event.Key)
	case executor.RunEnded:
		m.ended(now, event)
	}
	return m.actions(now, m.machine.Step(now, event))
}

// Expire handles every deadline that is due.
func (m *meter) Expire(now time.Time) []executor.Action {
	return m.actions(now, m.machine.Expire(now))
}

// Next returns the earliest deadline.
func (m *meter) Next() time.Time { return m.machine.Next() }

// deleteRefused deletes the record of an assignment that was refused.
func (m *meter) deleteRefused(key specifier.TaskKey) {
	if task := m.tasks[key]; task.queued.IsZero() {
		delete(m.tasks, key)
	}
}

func (m *meter) ended(now time.Time, e executor.RunEnded) {
	task, known := m.tasks[e.Key]
	if !known {
		return
	}
	delete(m.tasks, e.Key)
	if e.NotStarted {
		return
	}
	ran := now.Sub(task.started)
	if !e.Broken {
		m.classifier.Record(task.profile, ran)
	}
	m.metrics.Ended(classes[classifier.ClassOf(ran)], ran, e.Broken)
}

func (m *meter) actions(now time.Time, actions []executor.Action) []executor.Action {
	for _, action := range actions {
		switch action := action.(type) {
		case executor.RecordEvent:
			m.record(now, action.Event)
		case executor.Refused:
			m.metrics.Refused(exporter.Cause(action.Cause))
		}
	}
	load := m.machine.Load()
	m.metrics.SetSlots(load.Slots, load.Running)
	return actions
}

func (m *meter) record(now time.Time, event recorder.Event) {
	key := specifier.TaskKey{Job: event.Job, Task: event.Task}
	task, known := m.tasks[key]
	switch {
	case event.Kind == recorder.JobFenced:
		m.fenced(event.Job)
	case !known:
	case event.Kind == recorder.TaskQueued:
		task.queued, task.class = now, classes[m.classifier.Class(task.profile, 0)]
		m.tasks[key] = task
		m.count(task.class, 1)
	case event.Kind == recorder.TaskStarted:
		m.count(task.class, -1)
		m.metrics.Started(task.class, now.Sub(task.queued))
		task.started = now
		m.tasks[key] = task
	case event.Kind == recorder.TaskRefused && task.isQueued():
		m.count(task.class, -1)
		delete(m.tasks, key)
	}
}

// fenced deletes the records of queued tasks that the executor drops on a fence, for which it emits no refusal.
func (m *meter) fenced(job specifier.JobID) {
	for key, task := range m.tasks {
		if key.Job == job && task.isQueued() {
			m.count(task.class, -1)
			delete(m.tasks, key)
		}
	}
}

func (m *meter) count(class exporter.Class, change int) {
	m.queued[class] += change
	m.metrics.SetQueued(class, m.queued[class])
}

var classes = map[classifier.Class]exporter.Class{
	classifier.Short: exporter.Short, classifier.Medium: exporter.Medium, classifier.Long: exporter.Long,
}
