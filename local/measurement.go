package main

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"oleandertally/core/encoder"
	"oleandertally/core/specifier"
	"oleandertally/local/counter"
	"oleandertally/local/submitter"
	"oleandertally/replay/tracer"
)

const (
	agentMethod   = encoder.Worker_Link_FullMethodName
	proposeMethod = encoder.Registry_Propose_FullMethodName
	awaitMethod   = encoder.Peer_Await_FullMethodName
	// maxShortRun is the longest run time in a job of short tasks.
	maxShortRun = time.Second
	// The tables of replay use the same limits: narrow jobs are called short there, and wide jobs have more than
	// wideTasks tasks.
	maxNarrowTasks = 8
	wideTasks      = 60
)

// measurement is the result of one demand.
type measurement struct {
	demand  string
	results []submitter.Result
	elapsed time.Duration
	cpuTime time.Duration // total of all roles, callers and upstreams
	flows   map[counter.Flow]counter.Tally
	waits   waits
	report  *report
}

func isAny(tracer.Job) bool { return true }

func isShort(job tracer.Job) bool { return job.Longest() <= maxShortRun }

func isNarrow(job tracer.Job) bool { return len(job.RunMillis) <= maxNarrowTasks }

func isWide(job tracer.Job) bool { return len(job.RunMillis) > wideTasks }

// quantiles returns the median, p99 and maximum ratio of response time to ideal over the selected jobs that are complete.
func (m measurement) quantiles(selects func(tracer.Job) bool) (p50, p99, worst float64) {
	var ratios []float64
	for _, result := range m.results {
		if result.Err == nil && result.Response.Outcome == specifier.Complete && selects(result.Job) {
			ratios = append(ratios, m.report.ratio(result))
		}
	}
	if len(ratios) == 0 {
		return 0, 0, 0
	}
	slices.Sort(ratios)
	return quantile(ratios, 0.5), quantile(ratios, 0.99), ratios[len(ratios)-1]
}

func (m measurement) tasks() int {
	count := 0
	for _, result := range m.results {
		count += len(result.Job.RunMillis)
	}
	return count
}

func (m measurement) outcomes() string {
	var parts []string
	for _, name := range sortedKeys(m.report.outcomes) {
		parts = append(parts, fmt.Sprintf("%d %s", m.report.outcomes[name], name))
	}
	return strings.Join(parts, ", ")
}

// minMessages returns the minimum number of messages: an assignment and a result for each task, and a request,
// proposal, decision and answer for each job.
func (m measurement) minMessages() int { return 2*m.tasks() + 4*len(m.results) }

// messages returns the total of the messages that jobs need, including the requests and answers of the callers.
func (m measurement) messages() counter.Tally {
	callers := 2 * len(m.results)
	sum := counter.Tally{Messages: callers, Items: callers}
	for flow, tally := range m.flows {
		if flow.Method == agentMethod || flow.Method == proposeMethod || flow.Method == awaitMethod {
			sum = sum.Add(tally)
		}
	}
	return sum
}

func (m measurement) bytes(method string) int {
	return m.flows[counter.Flow{Method: method, Sent: true}].Bytes + m.flows[counter.Flow{Method: method}].Bytes
}

func (m measurement) printFlows(out io.Writer) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "METHOD\tDIRECTION\tMESSAGES\tITEMS\tBYTES")
	flows := slices.SortedFunc(maps.Keys(m.flows), func(a, b counter.Flow) int {
		return cmp.Or(cmp.Compare(a.Method, b.Method), direction(a)-direction(b))
	})
	for _, flow := range flows {
		tally := m.flows[flow]
		fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\n", flow.Method, []string{"from the entry", "to the entry"}[direction(flow)], tally.Messages, tally.Items, tally.Bytes)
	}
	table.Flush()
}

func direction(flow counter.Flow) int {
	if flow.Sent {
		return 0
	}
	return 1
}
