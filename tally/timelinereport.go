package main

import (
	"strings"

	"oleandertally/core/sequencer"
	"oleandertally/core/specifier"
)

// timelineReport is a time line as -json prints it.
type timelineReport struct {
	Job      string `json:",omitempty"`
	Refused  string // reason and detail, empty when the job was not refused
	Phases   []sequencer.Phase
	Clocks   []sequencer.Clock
	Warnings []string
	Events   []timelineEvent
}

// newTimelineReport includes the summary when job is not zero.
func newTimelineReport(timeline sequencer.Timeline, job specifier.JobID) timelineReport {
	report := timelineReport{Clocks: timeline.Clocks, Warnings: timeline.Warnings()}
	if job != (specifier.JobID{}) {
		summary := sequencer.Summarize(timeline, job)
		report.Job, report.Phases = job.String(), summary.Phases
		if refused := summary.Refused(); refused != nil {
			report.Refused = strings.TrimPrefix(refused.Detail, string(specifier.NotRun)+" ")
		}
	}
	for _, entry := range timeline.Entries {
		report.Events = append(report.Events, newTimelineEvent(entry))
	}
	return report
}
