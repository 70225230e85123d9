package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"runtime/pprof"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"oleandertally/local/counter"
	"oleandertally/local/deployer"
	"oleandertally/local/emulator"
	"oleandertally/local/submitter"
	"oleandertally/replay/tracer"
)

const (
	// maxRunTime truncates the tasks of 20 to 60 s, which would otherwise prolong the measurement.
	maxRunTime = 6 * time.Second
)

// demands are the measured demands, as shares of the slots.
var demands = []float64{0.3, 0.6, 0.8, 0.95}

// measureCommand runs the job mix of the design page at several demands. It prints the response times relative to the
// ideal and the number of messages.
type measureCommand struct {
	seed    uint64
	length  time.Duration
	entries int
	// profile is the file for a CPU profile, whose label Role names the role that used the time.
	profile string
	out     io.Writer
}

// run returns the exit code: 0 if every guarantee held, 1 if one was violated.
func (c *measureCommand) run(ctx context.Context) (code int, err error) {
	if c.profile != "" {
		file, err := os.Create(c.profile)
		if err != nil {
			return 0, errors.Wrap(err, "create the profile")
		}
		if err := pprof.StartCPUProfile(file); err != nil {
			return 0, errors.CombineErrors(err, file.Close())
		}
		defer func() { pprof.StopCPUProfile(); err = errors.CombineErrors(err, file.Close()) }()
	}
	fmt.Fprintf(c.out, "seed %d, %v of arrivals at each demand before the stretch, %d entries, load of the machine %s\n\n", c.seed, c.length, c.entries, loadAverages())
	var all []measurement
	for _, demand := range demands {
		m, err := c.measure(ctx, demand)
		if err != nil {
			return 0, err
		}
		all = append(all, m)
	}
	violations := c.print(all)
	fmt.Fprintf(c.out, "\nload of the machine %s\n", loadAverages())
	if violations > 0 {
		return 1, nil
	}
	return 0, nil
}

// measure measures one demand on a new site.
func (c *measureCommand) measure(ctx context.Context, demand float64) (measurement, error) {
	trace := c.trace(demand)
	claim, err := deployer.NewClaim()
	if err != nil {
		return measurement{}, err
	}
	defer claim.Release()
	folder, err := os.MkdirTemp("", "oleandertally-local-")
	if err != nil {
		return measurement{}, errors.Wrap(err, "create the data folder")
	}
	defer os.RemoveAll(folder)
	starts, messages := &emulator.StartLog{}, &counter.Counter{}
	site := (&replayCommand{}).site(starts)
	site.Layout, site.DataFolder, site.Stats, site.Entries = claim.Layout, folder, messages, c.entries
	if err := site.Start(ctx); err != nil {
		return measurement{}, errors.CombineErrors(err, site.Stop())
	}
	m, err := c.replay(ctx, site, messages, trace)
	if err := errors.CombineErrors(err, site.Stop()); err != nil {
		return measurement{}, err
	}
	events, _ := site.Events()
	m.waits = newWaits(events)
	m.report = newReport(trace, m.results, site, starts, m.elapsed)
	return m, nil
}

func (c *measureCommand) replay(ctx context.Context, site *deployer.Site, messages *counter.Counter, trace tracer.Trace) (measurement, error) {
	sender := &submitter.Submitter{Client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}, Prefix: trace.Name}
	for i := range site.Entries {
		sender.Entries = append(sender.Entries, site.Layout.Entry(i))
	}
	// The warm-up uses another profile than the mix. Otherwise the entries would learn that tasks of the mix take
	// no time and treat every worker as a straggler.
	wide := tracer.Job{Team: "sales", Profile: "hold", TimeLeftMillis: 10_000, RunMillis: make([]int, site.Slots())}
	if _, err := sender.WarmUp(ctx, wide, site.Workers); err != nil {
		return measurement{}, err
	}
	before, startedAt, cpuBefore := messages.Tallies(), time.Now(), cpuTime()
	results, err := sender.Replay(ctx, trace)
	m := measurement{demand: trace.Name, results: results, elapsed: time.Since(startedAt), cpuTime: cpuTime() - cpuBefore, flows: make(map[counter.Flow]counter.Tally)}
	for flow, tally := range messages.Tallies() {
		m.flows[flow] = tally.Sub(before[flow])
	}
	return m, err
}

// trace generates the jobs of one demand and truncates the longest tasks. It then scales the arrival times so that the
// offered work is exactly the demand; in a trace this short, a few wide jobs can change it by 15%.
func (c *measureCommand) trace(demand float64) tracer.Trace {
	jobs := tracer.NewGenerator(c.seed, c.entries).Arrivals(0, c.length, demand)
	var work time.Duration
	for _, job := range jobs {
		for i, run := range job.RunMillis {
			job.RunMillis[i] = min(run, int(maxRunTime.Milliseconds()))
		}
		work += job.Work()
	}
	stretch := work.Seconds() / (c.length.Seconds() * demand * tracer.Slots)
	for i := range jobs {
		jobs[i].AtMillis = int(float64(jobs[i].AtMillis) * stretch)
	}
	return tracer.Trace{Name: fmt.Sprintf("%.0f%%", 100*demand), Jobs: jobs}
}

// print prints the tables and returns the number of violated guarantees.
func (c *measureCommand) print(all []measurement) (violations int) {
	table := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "DEMAND\tJOBS\tTASKS\tALL P50, P99\tTASKS TO 1 S P50, P99\t1 TO 8 TASKS P50, P99\tWORST OF OVER 60\tWAIT AT ENTRY P50, P99\tWAIT AT AGENT P50, P99\tCPU A TASK\tOUTCOMES")
	for _, m := range all {
		p50, p99, _ := m.quantiles(isAny)
		short50, short99, _ := m.quantiles(isShort)
		narrow50, narrow99, _ := m.quantiles(isNarrow)
		_, _, wide := m.quantiles(isWide)
		fmt.Fprintf(table, "%s\t%d\t%d\t%.3f, %.3f\t%.3f, %.3f\t%.3f, %.3f\t%.3f\t%s\t%s\t%v\t%s\n", m.demand, len(m.results), m.tasks(),
			p50, p99, short50, short99, narrow50, narrow99, wide, m.waits.entry, m.waits.agent, m.cpuTime/time.Duration(m.tasks()), m.outcomes())
		violations += len(m.report.violations)
	}
	table.Flush()
	fmt.Fprintln(c.out, "\nmessages, over the least of 2 for each task and 4 for each job")
	fmt.Fprintln(table, "DEMAND\tLEAST\tMESSAGES\tRATIO\tITEMS\tRATIO\tBYTES A TASK TO AND FROM AGENTS\tBYTES A JOB TO AND FROM CONTROLLERS")
	for _, m := range all {
		sum, minimum := m.messages(), m.minMessages()
		fmt.Fprintf(table, "%s\t%d\t%d\t%.3f\t%d\t%.3f\t%d\t%d\n", m.demand, minimum, sum.Messages, float64(sum.Messages)/float64(minimum),
			sum.Items, float64(sum.Items)/float64(minimum), m.bytes(agentMethod)/m.tasks(), m.bytes(proposeMethod)/len(m.results))
	}
	table.Flush()
	for _, m := range all {
		fmt.Fprintf(c.out, "\n%s\n", m.demand)
		m.printFlows(c.out)
		for _, line := range m.report.violations {
			fmt.Fprintln(c.out, "broken: "+line)
		}
	}
	return violations
}

// loadAverages returns the machine's load averages, or "unknown" if the system does not provide them.
func loadAverages() string {
	text, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	return strings.Join(strings.Fields(string(text))[:3], " ")
}
