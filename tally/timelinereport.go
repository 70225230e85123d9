package main

import (
	"strings"

	"oleandertally/core/merger"
	"oleandertally/core/specifier"
)

// timelineReport is a time line as -json prints it.
type timelineReport struct {
	Job      string `json:",omitempty"`
	Refused  string // reason and detail, empty when the job was not refused
	Phases   []merger.Phase
	Clocks   []merger.Clock
	Warnings []string
	Events   []timelineEvent
}

// newTimelineReport returns the report of timeline. It includes the summary of job when job is not zero.
func newTimelineReport(timeline merger.Timeline, job specifier.JobID) timelineReport {
	report := timelineReport{Clocks: timeline.Clocks, Warnings: timeline.Warnings()}
	if job != (specifier.JobID{}) {
		summary := merger.Summarize(timeline, job)
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
