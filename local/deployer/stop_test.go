package deployer

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
	"go.uber.org/goleak"
	"golang.org/x/sync/errgroup"

	"oleandertally/core/exporter"
	"oleandertally/core/specifier"
	"oleandertally/core/verifier"
	entryrunner "oleandertally/entry/runner"
	"oleandertally/local/emulator"
	"oleandertally/local/submitter"
	"oleandertally/replay/tracer"
)

const (
	callers       = 12
	jobsOfCaller  = 12
	stopBound     = 30 * time.Second
	tasksOfOneJob = 4
)

// burst is many callers that submit what was not run again, at the other entry. They use a new key, since the
// refusal of the first is held for specifier.RefusalRetention.
type burst struct {
	sender *submitter.Submitter
	starts *emulator.StartLog

	mutex   sync.Mutex
	problem []string
	refused []submitter.Result // answers NotRun because an entry stops
	ended   int                // jobs
	third   chan struct{}      // closed when a third of the jobs have ended
	moved   sync.WaitGroup
}

func (b *burst) report(format string, args ...any) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.problem = append(b.problem, fmt.Sprintf(format, args...))
}

func (b *burst) end() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.ended++; b.ended == callers*jobsOfCaller/3 {
		close(b.third)
	}
}

// caller sends its jobs one after the other. It begins at the first entry, as if a balancer had chosen
// that, and moves to the second when the first says that it stops.
func (b *burst) caller(ctx context.Context, number int) {
	at := 0
	move := sync.OnceFunc(func() { at = 1; b.moved.Done() })
	defer move()
	for i := range jobsOfCaller {
		job := tracer.Job{Team: "web", Profile: "hold", TimeLeftMillis: 20_000}
		for task := range tasksOfOneJob {
			job.RunMillis = append(job.RunMillis, 20+10*((number+i+task)%6))
		}
		key := fmt.Sprintf("caller-%d-%d", number, i)
		job.Entry = at
		result := b.sender.Submit(ctx, job, key)
		if result.Err == nil && result.Response.Outcome == specifier.NotRun && result.Response.Reason == specifier.Stopping {
			b.refuse(result)
			move()
			job.Entry = at
			result = b.sender.Submit(ctx, job, key+"-again")
		}
		b.check(result)
		b.end()
	}
}

func (b *burst) refuse(result submitter.Result) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.refused = append(b.refused, result)
}

// checkRefused checks, after everything has ended, that nothing of a refused job has run.
func (b *burst) checkRefused() {
	for _, result := range b.refused {
		if started := b.started(result.Key, result.Job); started > 0 {
			b.report("%s was refused, but %d tasks have started", result.Key, started)
		}
	}
}

func (b *burst) check(result submitter.Result) {
	switch {
	case result.Err != nil:
		b.report("%s: no answer: %v", result.Key, result.Err)
	case result.Response.Outcome != specifier.Complete:
		b.report("%s: %s %s: %s", result.Key, result.Response.Outcome, result.Response.Reason, result.Response.Detail)
	case len(result.Response.Results) != tasksOfOneJob || b.started(result.Key, result.Job) != tasksOfOneJob:
		b.report("%s: %d results, %d starts", result.Key, len(result.Response.Results), b.started(result.Key, result.Job))
	}
}

func (b *burst) started(key string, job tracer.Job) int {
	started := 0
	for i := range job.RunMillis {
		started += b.starts.Of(specifier.NewJobID(job.Team, key).String(), fmt.Sprintf("t%03d", i))
	}
	return started
}

func startSite(t *testing.T, starts *emulator.StartLog) *Site {
	t.Helper()
	claim, err := NewClaim()
	must.NoError(t, err)
	t.Cleanup(claim.Release)
	site := &Site{
		Layout:     claim.Layout,
		DataFolder: t.TempDir(), Zones: []string{"alajuela", "heredia", "cartago"}, Service: "reservas",
		Entries: 2, Controllers: 3, Workers: 3, MemberLease: 3 * time.Second, Starts: starts,
		Profiles: []specifier.Profile{{Name: "hold", Service: "reservas"}},
	}
	must.NoError(t, site.Start(t.Context()))
	return site
}

// Guards against a planned stop that cuts off a request or a task, refuses a job that ran, or leaves a
// goroutine behind.
func TestPlannedStopCutsNothingOff(t *testing.T) {
	leaks := goleak.IgnoreCurrent()
	starts := &emulator.StartLog{}
	site := startSite(t, starts)
	// Without kept connections, so that a closed listener is told apart from an answer that is cut off.
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	b := &burst{sender: &submitter.Submitter{Client: client, Entries: []netip.AddrPort{site.Layout.Entry(0), site.Layout.Entry(1)}},
		starts: starts, third: make(chan struct{})}
	for entry := range site.Entries {
		awaitService(t, site, b.sender, entry)
	}
	b.moved.Add(callers)
	ctx, cancel := context.WithTimeout(t.Context(), 2*stopBound)
	defer cancel()
	var group errgroup.Group
	for number := range callers {
		group.Go(func() error { b.caller(ctx, number); return nil })
	}
	<-b.third
	must.NoError(t, site.StopAgent(ctx, 0))
	stopEntry(ctx, t, site.entries[0], b)
	must.NoError(t, group.Wait())
	mustMeasure(t, site.entries[1].role.(*entryrunner.Entry).Metrics, callers*jobsOfCaller)
	events, dropped := site.Events()
	must.NoError(t, site.Stop())
	http.DefaultClient.CloseIdleConnections()

	b.checkRefused()
	must.SliceEmpty(t, b.problem)
	must.Positive(t, len(b.refused), must.Sprint("the entry stopped after the burst"))
	must.Zero(t, dropped)
	must.SliceEmpty(t, verifier.Check(events, verifier.Facts{}))
	goleak.VerifyNone(t, leaks)
}

// mustMeasure checks that no task is counted as waiting after a burst, and that answers are counted as often
// as they are Complete. The other entry has answered the rest, so most is a bound.
func mustMeasure(t *testing.T, metrics *exporter.Entry, most float64) {
	t.Helper()
	families, err := metrics.Registry().Gather()
	must.NoError(t, err)
	sums := make(map[string]float64)
	for _, family := range families {
		for _, metric := range family.GetMetric() {
			sums[family.GetName()] += metric.GetGauge().GetValue() + metric.GetCounter().GetValue() + float64(metric.GetHistogram().GetSampleCount())
		}
	}
	answers := sums["oleandertally_entry_in_time_total"]
	must.Zero(t, sums["oleandertally_entry_queue_tasks"])
	must.Between(t, 1, answers, most+1)
	must.Eq(t, answers, sums["oleandertally_entry_response_over_ideal_ratio"])
	// One job of awaitService with one task.
	must.Eq(t, (answers-1)*tasksOfOneJob+1, sums["oleandertally_entry_assignments_total"]-sums["oleandertally_entry_retries_total"])
}

// stopEntry closes the entry's listeners once every caller has seen that it stops, as a balancer would.
func stopEntry(ctx context.Context, t *testing.T, entry *process, b *burst) {
	t.Helper()
	for i, step := range entry.role.Steps() {
		must.NoError(t, step.Run(ctx), must.Sprint(step.Name))
		if i == 0 {
			b.moved.Wait()
		}
	}
	entry.kill()
}

// awaitService returns when the entry has the configuration and the workers.
func awaitService(t *testing.T, site *Site, sender *submitter.Submitter, entry int) {
	t.Helper()
	attempt := 0
	complete := func() bool {
		attempt++
		job := tracer.Job{Entry: entry, Team: "web", Profile: "hold", TimeLeftMillis: 2000, RunMillis: []int{1}}
		return sender.Submit(t.Context(), job, fmt.Sprintf("warm-%d-%d", entry, attempt)).Response.Outcome == specifier.Complete
	}
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(complete), wait.Timeout(stopBound), wait.Gap(20*time.Millisecond)),
		must.Func(func() string { return story(site) }))
}
