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
	callerCount   = 12
	jobsPerCaller = 12
	stopTimeout   = 30 * time.Second
	tasksPerJob   = 4
)

// burst runs many callers concurrently. A caller whose job is refused because the entry stops submits it again at the
// other entry, under a new key, because the refusal of the first key stays valid for specifier.RefusalRetention.
type burst struct {
	sender *submitter.Submitter
	starts *emulator.StartLog

	mutex      sync.Mutex
	problems   []string
	refused    []submitter.Result // answered NotRun because the entry stops
	endedJobs  int
	thirdEnded chan struct{}  // closed when a third of the jobs have ended
	firstEntry sync.WaitGroup // callers that still use the first entry
}

func (b *burst) addProblem(format string, args ...any) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.problems = append(b.problems, fmt.Sprintf(format, args...))
}

func (b *burst) countEnd() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.endedJobs++; b.endedJobs == callerCount*jobsPerCaller/3 {
		close(b.thirdEnded)
	}
}

// runCaller submits the jobs of one caller one after the other, to the first entry until that refuses a job because it
// stops, and then to the second. A load balancer would route them in the same way.
func (b *burst) runCaller(ctx context.Context, number int) {
	entry := 0
	leaveFirst := sync.OnceFunc(func() { entry = 1; b.firstEntry.Done() })
	defer leaveFirst()
	for i := range jobsPerCaller {
		job := tracer.Job{Team: "web", Profile: "hold", TimeLeftMillis: 20_000}
		for task := range tasksPerJob {
			job.RunMillis = append(job.RunMillis, 20+10*((number+i+task)%6))
		}
		key := fmt.Sprintf("caller-%d-%d", number, i)
		job.Entry = entry
		result := b.sender.Submit(ctx, job, key)
		if result.Err == nil && result.Response.Outcome == specifier.NotRun && result.Response.Reason == specifier.Stopping {
			b.addRefused(result)
			leaveFirst()
			job.Entry = entry
			result = b.sender.Submit(ctx, job, key+"-again")
		}
		b.check(result)
		b.countEnd()
	}
}

func (b *burst) addRefused(result submitter.Result) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.refused = append(b.refused, result)
}

// checkRefused checks that no task of a refused job has started. All processes have ended by then.
func (b *burst) checkRefused() {
	for _, result := range b.refused {
		if started := b.startCount(result.Key, result.Job); started > 0 {
			b.addProblem("%s was refused, but %d tasks have started", result.Key, started)
		}
	}
}

func (b *burst) check(result submitter.Result) {
	switch {
	case result.Err != nil:
		b.addProblem("%s: no answer: %v", result.Key, result.Err)
	case result.Response.Outcome != specifier.Complete:
		b.addProblem("%s: %s %s: %s", result.Key, result.Response.Outcome, result.Response.Reason, result.Response.Detail)
	case len(result.Response.Results) != tasksPerJob || b.startCount(result.Key, result.Job) != tasksPerJob:
		b.addProblem("%s: %d results, %d starts", result.Key, len(result.Response.Results), b.startCount(result.Key, result.Job))
	}
}

func (b *burst) startCount(key string, job tracer.Job) int {
	started := 0
	for i := range job.RunMillis {
		started += b.starts.StartsOf(specifier.NewJobID(job.Team, key).String(), fmt.Sprintf("t%03d", i))
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

// Guards against a graceful shutdown of an agent and an entry that aborts a request or a task, refuses a job that ran, or
// leaks a goroutine.
func TestGracefulShutdownAbortsNothing(t *testing.T) {
	leaks := goleak.IgnoreCurrent()
	starts := &emulator.StartLog{}
	site := startSite(t, starts)
	// Without keep-alive, a request to a closed listener is refused and can't be mistaken for a truncated answer.
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	b := &burst{sender: &submitter.Submitter{Client: client, Entries: []netip.AddrPort{site.Layout.Entry(0), site.Layout.Entry(1)}},
		starts: starts, thirdEnded: make(chan struct{})}
	for entry := range site.Entries {
		awaitService(t, site, b.sender, entry)
	}
	b.firstEntry.Add(callerCount)
	ctx, cancel := context.WithTimeout(t.Context(), 2*stopTimeout)
	defer cancel()
	var group errgroup.Group
	for number := range callerCount {
		group.Go(func() error { b.runCaller(ctx, number); return nil })
	}
	<-b.thirdEnded
	must.NoError(t, site.StopAgent(ctx, 0))
	stopEntry(ctx, t, site.entries[0], b)
	must.NoError(t, group.Wait())
	mustCountMetrics(t, site.entries[1].role.(*entryrunner.Entry).Metrics, callerCount*jobsPerCaller)
	events, dropped := site.Events()
	must.NoError(t, site.Stop())
	http.DefaultClient.CloseIdleConnections()

	b.checkRefused()
	must.SliceEmpty(t, b.problems, must.Sprint(b.problems))
	must.Positive(t, len(b.refused), must.Sprint("the entry refused no job, so it stopped too late"))
	must.Zero(t, dropped)
	must.SliceEmpty(t, verifier.Check(events, verifier.Facts{}))
	goleak.VerifyNone(t, leaks)
}

// mustCountMetrics checks the metrics of one entry after the burst: no task is queued, and the answers, ratios and
// assignments agree. maxAnswers is only an upper bound, since the other entry has answered some of the jobs.
func mustCountMetrics(t *testing.T, metrics *exporter.Entry, maxAnswers float64) {
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
	must.Between(t, 1, answers, maxAnswers+1)
	must.Eq(t, answers, sums["oleandertally_entry_response_over_ideal_ratio"])
	// The job of awaitService has one task.
	must.Eq(t, (answers-1)*tasksPerJob+1, sums["oleandertally_entry_assignments_total"]-sums["oleandertally_entry_retries_total"])
}

// stopEntry closes the entry's listeners only after every caller has left the entry, as behind a load balancer.
func stopEntry(ctx context.Context, t *testing.T, entry *process, b *burst) {
	t.Helper()
	for i, step := range entry.role.Steps() {
		must.NoError(t, step.Run(ctx), must.Sprint(step.Name))
		if i == 0 {
			b.firstEntry.Wait()
		}
	}
	entry.kill()
}

// awaitService submits jobs until the entry completes one, which needs the configuration and a worker.
func awaitService(t *testing.T, site *Site, sender *submitter.Submitter, entry int) {
	t.Helper()
	attempt := 0
	complete := func() bool {
		attempt++
		job := tracer.Job{Entry: entry, Team: "web", Profile: "hold", TimeLeftMillis: 2000, RunMillis: []int{1}}
		return sender.Submit(t.Context(), job, fmt.Sprintf("warm-%d-%d", entry, attempt)).Response.Outcome == specifier.Complete
	}
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(complete), wait.Timeout(stopTimeout), wait.Gap(20*time.Millisecond)),
		must.Func(func() string { return timeline(site) }))
}
