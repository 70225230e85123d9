package main

import (
	"time"

	"oleandertally/core/merger"
	"oleandertally/core/specifier"
)

// timelineEvent is one event as -json prints it.
type timelineEvent struct {
	At       time.Time // the time on the clock of Process minus the estimated skew
	OwnAt    time.Time // on the clock of Process
	Process  string
	Sequence uint64
	Kind     string
	Job      string `json:",omitempty"`
	Task     string `json:",omitempty"`
	Epoch    specifier.Epoch
	Other    string `json:",omitempty"`
	Detail   string `json:",omitempty"`
}

func newTimelineEvent(e merger.Entry) timelineEvent {
	event := timelineEvent{At: e.Aligned.UTC(), OwnAt: e.At.UTC(), Process: e.Process, Sequence: e.Sequence, Kind: string(e.Kind),
		Task: e.Task, Epoch: e.Epoch, Other: e.Other, Detail: e.Detail}
	if e.Job != (specifier.JobID{}) {
		event.Job = e.Job.String()
	}
	return event
}
