package main

import (
	"fmt"
	"slices"
	"time"

	"oleandertally/core/recorder"
	"oleandertally/core/specifier"
)

// waits holds the times that tasks waited before they started, each measured on the clock of one process.
type waits struct {
	entry spread // from acceptance of the job to the assignment
	agent spread // in the agent's queue
}

// spread holds durations in ascending order, for their quantiles.
type spread []time.Duration

// String returns the median and p99.
func (s spread) String() string {
	if len(s) == 0 {
		return "none"
	}
	at := func(share float64) time.Duration {
		return s[int(share*float64(len(s)-1))].Round(10 * time.Microsecond)
	}
	return fmt.Sprintf("%v, %v", at(0.5), at(0.99))
}

func newWaits(events []recorder.Event) waits {
	type run struct {
		process string
		key     specifier.TaskKey
	}
	var w waits
	waitingSince := make(map[run]time.Time)
	for _, event := range events {
		job := run{process: event.Process, key: specifier.TaskKey{Job: event.Job}}
		task := run{process: event.Process, key: specifier.TaskKey{Job: event.Job, Task: event.Task}}
		switch event.Kind {
		case recorder.JobAccepted:
			waitingSince[job] = event.At
		case recorder.TaskAssigned:
			w.entry = append(w.entry, event.At.Sub(waitingSince[job]))
		case recorder.TaskQueued:
			waitingSince[task] = event.At
		case recorder.TaskStarted:
			w.agent = append(w.agent, event.At.Sub(waitingSince[task]))
		}
	}
	slices.Sort(w.entry)
	slices.Sort(w.agent)
	return w
}
