package main

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"oleandertally/core/recorder"
	"oleandertally/core/specifier"
	"oleandertally/replay/tracer"
)

// Guards against a trace whose offered work differs from the demand that its figures are printed for.
func TestTraceMatchesDemand(t *testing.T) {
	c := measureCommand{seed: 3, entries: 2, length: 20 * time.Second}
	for _, demand := range demands {
		jobs := c.trace(demand).Jobs
		var work time.Duration
		for _, job := range jobs {
			must.LessEq(t, maxRunTime, job.Longest())
			work += job.Work()
		}
		// The last job arrives shortly before the end of the trace, so the result is not exact.
		offered := work.Seconds() / (jobs[len(jobs)-1].At().Seconds() * tracer.Slots)
		must.InDelta(t, demand, offered, 0.05*demand)
	}
}

// Guards against waits computed from events of two processes, whose clocks differ, or of two tasks.
func TestWaits(t *testing.T) {
	job := specifier.NewJobID("web", "a")
	startedAt := time.Date(2026, 5, 4, 9, 0, 0, 0, time.UTC)
	at := func(process string, millis int, kind recorder.Kind, task string) recorder.Event {
		return recorder.Event{At: startedAt.Add(time.Duration(millis) * time.Millisecond), Process: process, Kind: kind, Job: job, Task: task}
	}
	w := newWaits([]recorder.Event{
		at("entry-1/1", 0, recorder.JobAccepted, ""),
		at("entry-1/1", 3, recorder.TaskAssigned, "a"),
		at("entry-1/1", 9, recorder.TaskAssigned, "b"),
		at("worker-1/2", 500, recorder.TaskQueued, "a"),
		at("worker-2/3", 900, recorder.TaskQueued, "b"),
		at("worker-1/2", 520, recorder.TaskStarted, "a"),
		at("worker-2/3", 907, recorder.TaskStarted, "b"),
	})
	must.Eq(t, spread{3 * time.Millisecond, 9 * time.Millisecond}, w.entry)
	must.Eq(t, spread{7 * time.Millisecond, 20 * time.Millisecond}, w.agent)
}
