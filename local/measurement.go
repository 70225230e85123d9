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
	agentLink = encoder.Worker_Link_FullMethodName
	proposals = encoder.Registry_Propose_FullMethodName
	awaits    = encoder.Peer_Await_FullMethodName
	// shortRun is the longest task of a job of short tasks.
	shortRun = time.Second
	// narrowTasks and wideTasks are those of the replay's tables: a narrow job is what they call short.
	narrowTasks = 8
	wideTasks   = 60
)

// measurement is what one demand gave.
type measurement struct {
	demand  string
	results []submitter.Result
	took    time.Duration
	used    time.Duration // processor time of all roles, callers and upstreams
	flows   map[counter.Flow]counter.Tally
	waits   waits
	report  *report
}

func isAny(tracer.Job) bool { return true }

func isShort(job tracer.Job) bool { return job.Longest() <= shortRun }

func isNarrow(job tracer.Job) bool { return len(job.RunMillis) <= narrowTasks }

func isWide(job tracer.Job) bool { return len(job.RunMillis) > wideTasks }

// quantiles returns the median, p99 and worst of response over ideal of the complete jobs that keep selects.
func (m measurement) quantiles(keep func(tracer.Job) bool) (p50, p99, worst float64) {
	var ratios []float64
	for _, result := range m.results {
		if result.Err == nil && result.Response.Outcome == specifier.Complete && keep(result.Job) {
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

// least is one assignment and one result for each task, and one request, proposal, decision and answer
// for each job.
func (m measurement) least() int { return 2*m.tasks() + 4*len(m.results) }

// messages returns the messages of the path of a job, with the request and the answer of each caller.
func (m measurement) messages() counter.Tally {
	callers := 2 * len(m.results)
	sum := counter.Tally{Messages: callers, Items: callers}
	for flow, tally := range m.flows {
		if flow.Method == agentLink || flow.Method == proposals || flow.Method == awaits {
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
