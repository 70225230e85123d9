package reporter

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"oleandertally/replay/player"
	"oleandertally/replay/tracer"
)

// Summary is one row of a table. Ratios are response over ideal of the completed jobs.
type Summary struct {
	Variant                          string
	AllMedian, AllP99                float64 // p50 and p99 of all jobs
	ShortMedian                      float64
	ShortP99                         float64 // p99 of jobs of 1 to 8 tasks
	WorstWide                        float64 // of jobs of more than 60 tasks
	Goodput                          float64 // work answered in time over the lesser of demand and capacity
	Blocking                         float64 // ShortHigh over that without the long jobs; 0: not measured
	MaxLostTasks                     int     // most tasks lost to sick workers by one entry
	CorrectEjections, WrongEjections int     // ejections of sick and of healthy workers
	MessagesPerTask                  float64 // for each task
	Refused, Failed                  int     // jobs; Failed includes those that timed out
	Teams                            string  // share of the slots that each team used
}

const (
	shortTasks = 8
	wideTasks  = 60
)

// Summarize computes the row of a report.
func Summarize(variant string, trace tracer.Trace, report *player.Report) Summary {
	s := Summary{Variant: variant}
	var all, short []float64
	for _, record := range report.Records {
		switch record.Outcome {
		case player.Completed:
		case player.Refused:
			s.Refused++
			continue
		case player.Cancelled:
			continue
		default:
			s.Failed++
			continue
		}
		ratio, tasks := record.Ratio(), len(record.Job.RunMillis)
		all = append(all, ratio)
		if tasks <= shortTasks && record.Job.Profile != Batch {
			short = append(short, ratio)
		}
		if tasks > wideTasks {
			s.WorstWide = max(s.WorstWide, ratio)
		}
	}
	s.AllMedian, s.AllP99 = quantile(all, 0.5), quantile(all, 0.99)
	s.ShortMedian, s.ShortP99 = quantile(short, 0.5), quantile(short, 0.99)
	s.Goodput = goodput(trace, report)
	for _, lost := range report.LostTasks {
		s.MaxLostTasks = max(s.MaxLostTasks, lost)
	}
	s.CorrectEjections, s.WrongEjections = ejections(trace, report)
	if report.Tasks > 0 {
		s.MessagesPerTask = float64(report.Messages) / float64(report.Tasks)
	}
	s.Teams = teamShares(trace, report)
	return s
}

// teamShares lists, by name, the part of the capacity that each team used.
func teamShares(trace tracer.Trace, report *player.Report) string {
	capacity := (trace.Length() - trace.Length()/6) * tracer.Slots
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(report.TeamSlotTime)) {
		parts = append(parts, fmt.Sprintf("%s %.0f%%", name, 100*float64(report.TeamSlotTime[name])/float64(capacity)))
	}
	return strings.Join(parts, ", ")
}

// Batch is the profile of long jobs in the traces. Its jobs are not short work, however few tasks they have.
const Batch = "batch"

// goodput is the work answered in time over the lesser of demand and capacity. Below capacity it counts the
// jobs that arrived in the window, since how long a run reaches beyond the window says nothing there.
func goodput(trace tracer.Trace, report *player.Report) float64 {
	start := trace.Length() / 6
	if trace.Demand >= 1 {
		return float64(report.UsefulSlotTime) / float64((trace.Length()-start)*tracer.Slots)
	}
	var offered, answered time.Duration
	for _, record := range report.Records {
		if record.Job.At() < start || record.Job.Poison || record.Job.CancelMillis > 0 {
			continue
		}
		offered += record.Job.Work()
		if record.Outcome == player.Completed && !record.Late {
			answered += record.Job.Work()
		}
	}
	return float64(answered) / float64(offered)
}

// ejections counts how many ejections hit a worker with a fault and how many another.
func ejections(trace tracer.Trace, report *player.Report) (right, wrong int) {
	for name, count := range report.Ejected {
		if sick(trace, name) {
			right += count
		} else {
			wrong += count
		}
	}
	return right, wrong
}

// quantile returns the smallest value that is at least as large as a share of the values.
func quantile(values []float64, share float64) float64 {
	if len(values) == 0 {
		return math.NaN()
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[max(int(math.Ceil(share*float64(len(sorted))))-1, 0)]
}
