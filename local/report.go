package main

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"oleandertally/core/recorder"
	"oleandertally/core/specifier"
	"oleandertally/core/verifier"
	"oleandertally/local/deployer"
	"oleandertally/local/emulator"
	"oleandertally/local/submitter"
	"oleandertally/replay/tracer"
)

// maxSlowest is the maximum number of jobs in the list of the slowest.
const maxSlowest = 5

// report summarizes one replay.
type report struct {
	trace      tracer.Trace
	results    []submitter.Result
	elapsed    time.Duration
	slots      int
	outcomes   map[string]int
	ratios     []float64 // response time over ideal of the complete jobs, ascending
	byWorker   map[string]int
	violations []string
}

func newReport(trace tracer.Trace, results []submitter.Result, site *deployer.Site, starts *emulator.StartLog, elapsed time.Duration) *report {
	r := &report{trace: trace, results: results, elapsed: elapsed, slots: site.Slots(), outcomes: make(map[string]int), byWorker: make(map[string]int)}
	events, dropped := site.Events()
	for _, result := range results {
		r.count(result)
	}
	slices.Sort(r.ratios)
	for _, event := range events {
		if event.Kind == recorder.TaskStarted {
			r.byWorker[recorder.ProcessName(event.Process)]++
		}
	}
	r.check(events, dropped, starts)
	return r
}

func (r *report) count(result submitter.Result) {
	if result.Err != nil {
		r.outcomes["no answer"]++
		r.violations = append(r.violations, fmt.Sprintf("%s got no answer: %v", result.Key, result.Err))
		return
	}
	name := string(result.Response.Outcome)
	if result.Response.Reason != "" {
		name += " " + string(result.Response.Reason)
	}
	r.outcomes[name]++
	if result.Response.Outcome != specifier.Complete {
		return
	}
	if len(result.Response.Results) != len(result.Job.RunMillis) {
		r.violations = append(r.violations, fmt.Sprintf("%s got %d of %d results", result.Key, len(result.Response.Results), len(result.Job.RunMillis)))
	}
	if result.Took > result.Job.TimeLeft() {
		r.violations = append(r.violations, fmt.Sprintf("%s was answered after its deadline", result.Key))
	}
	r.ratios = append(r.ratios, r.ratio(result))
}

func (r *report) ratio(result submitter.Result) float64 {
	return float64(result.Took) / float64(result.Job.Ideal(r.slots, roundTrip))
}

// check verifies the guarantees against the upstreams' log of starts and the recorded events.
func (r *report) check(events []recorder.Event, dropped int, starts *emulator.StartLog) {
	if dropped > 0 {
		r.violations = append(r.violations, fmt.Sprintf("%d events were dropped, so the promises could not be checked", dropped))
	}
	if _, repeated := starts.Count(); repeated > 0 {
		r.violations = append(r.violations, fmt.Sprintf("%d tasks started more than once", repeated))
	}
	for _, result := range r.results {
		job := specifier.NewJobID(result.Job.Team, result.Key).String()
		for i := range result.Job.RunMillis {
			count := starts.StartsOf(job, fmt.Sprintf("t%03d", i))
			if result.Err == nil && result.Response.Outcome == specifier.NotRun && count > 0 {
				r.violations = append(r.violations, fmt.Sprintf("%s was answered NotRun, but a task started", result.Key))
			}
			if result.Err == nil && result.Response.Outcome == specifier.Complete && count != 1 {
				r.violations = append(r.violations, fmt.Sprintf("%s is complete, but task %d started %d times", result.Key, i, count))
			}
		}
	}
	for _, violation := range verifier.Check(events, verifier.Facts{}) {
		r.violations = append(r.violations, violation.String())
	}
}

func (r *report) print(out io.Writer) {
	tasks := 0
	for _, job := range r.trace.Jobs {
		tasks += len(job.RunMillis)
	}
	fmt.Fprintf(out, "%s: %d jobs, %d tasks on %d slots in %v\n\n", r.trace.Name, len(r.trace.Jobs), tasks, r.slots, r.elapsed.Round(time.Millisecond))
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, name := range sortedKeys(r.outcomes) {
		fmt.Fprintf(table, "%s\t%d\n", name, r.outcomes[name])
	}
	table.Flush()
	if len(r.ratios) > 0 {
		fmt.Fprintf(out, "\nresponse over ideal: p50 %.3f  p99 %.3f  worst %.3f\n", quantile(r.ratios, 0.5), quantile(r.ratios, 0.99), r.ratios[len(r.ratios)-1])
	}
	fmt.Fprintf(out, "\nstarts by worker\n")
	for _, name := range sortedKeys(r.byWorker) {
		fmt.Fprintf(out, "  %-12s %4d %s\n", name, r.byWorker[name], strings.Repeat("#", r.byWorker[name]*40/max(tasks, 1)+1))
	}
	r.printSlowest(out)
	if len(r.violations) == 0 {
		fmt.Fprintln(out, "\nevery promise held")
		return
	}
	fmt.Fprintf(out, "\n%d promises broken:\n", len(r.violations))
	for _, line := range r.violations {
		fmt.Fprintln(out, "  "+line)
	}
}

func (r *report) printSlowest(out io.Writer) {
	complete := slices.DeleteFunc(slices.Clone(r.results), func(s submitter.Result) bool {
		return s.Err != nil || s.Response.Outcome != specifier.Complete
	})
	slices.SortFunc(complete, func(a, b submitter.Result) int {
		if r.ratio(a) > r.ratio(b) {
			return -1
		}
		return 1
	})
	fmt.Fprintln(out, "\nfurthest from the ideal")
	table := tabwriter.NewWriter(out, 2, 0, 2, ' ', 0)
	fmt.Fprintln(table, "  job\ttasks\ttook\tideal\tratio")
	for _, result := range complete[:min(maxSlowest, len(complete))] {
		fmt.Fprintf(table, "  %s\t%d\t%v\t%v\t%.3f\n", result.Key, len(result.Job.RunMillis), result.Took.Round(time.Millisecond),
			result.Job.Ideal(r.slots, roundTrip).Round(time.Millisecond), r.ratio(result))
	}
	table.Flush()
}

func quantile(sorted []float64, q float64) float64 {
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

func sortedKeys(m map[string]int) []string {
	var keys []string
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
