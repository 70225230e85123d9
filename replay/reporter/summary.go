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

// Summary is one row of a table. Ratios are the response times of completed jobs over their ideal.
type Summary struct {
	Variant                          string
	AllMedian, AllP99                float64 // p50 and p99 of all jobs
	ShortMedian                      float64
	ShortP99                         float64 // p99 of jobs of 1 to 8 tasks
	WorstWide                        float64 // highest ratio of jobs of more than 60 tasks
	Goodput                          float64 // work answered in time over the smaller of demand and capacity
	Blocking                         float64 // ShortP99 over its value without the long jobs; 0: not measured
	MaxLostTasks                     int     // tasks of one entry that failed on unhealthy workers, maximum over the entries
	CorrectEjections, WrongEjections int     // ejections of unhealthy and of healthy workers
	MessagesPerTask                  float64
	Refused, Failed                  int    // jobs; Failed includes those that timed out
	Teams                            string // share of the slots that each team used
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

// teamShares lists the share of the capacity that each team used, ordered by name.
func teamShares(trace tracer.Trace, report *player.Report) string {
	capacity := (trace.Length() - trace.Length()/6) * tracer.Slots
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(report.TeamSlotTime)) {
		parts = append(parts, fmt.Sprintf("%s %.0f%%", name, 100*float64(report.TeamSlotTime[name])/float64(capacity)))
	}
	return strings.Join(parts, ", ")
}

// Batch is the profile of the long jobs in the traces. They never count as short, even with few tasks.
const Batch = "batch"

// goodput returns the work answered in time over the smaller of demand and capacity. If the demand is at least the capacity,
// the work is the useful slot time in the goodput window. Below that, it is the work of the whole jobs that arrive in the window,
// because the parts of their runs outside the window do not matter there.
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

// ejections counts the ejections of unhealthy workers and of healthy ones.
func ejections(trace tracer.Trace, report *player.Report) (correct, wrong int) {
	for name, count := range report.Ejected {
		if isUnhealthy(trace, name) {
			correct += count
		} else {
			wrong += count
		}
	}
	return correct, wrong
}

// quantile returns the smallest value such that the given share of the values does not exceed it.
func quantile(values []float64, share float64) float64 {
	if len(values) == 0 {
		return math.NaN()
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[max(int(math.Ceil(share*float64(len(sorted))))-1, 0)]
}
