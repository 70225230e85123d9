package deployer_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"

	"oleandertally/core/merger"
	"oleandertally/core/recorder"
	"oleandertally/core/specifier"
	"oleandertally/core/verifier"
	"oleandertally/entry/answerer"
	"oleandertally/local/deployer"
	"oleandertally/local/emulator"
	"oleandertally/local/submitter"
	"oleandertally/replay/tracer"
)

const (
	requestCopies = 100
	teamName      = "web"
	// memberLease is short because a takeover waits until it expires.
	memberLease = 2 * time.Second
	// testTimeout ends a test whose jobs are never answered.
	testTimeout = 45 * time.Second
)

// harness is a site with its callers and the upstreams' own log of started tasks.
type harness struct {
	t      *testing.T
	ctx    context.Context
	site   *deployer.Site
	starts *emulator.StartLog
	watch  *startWatch
	sender *submitter.Submitter

	warmUpJobs map[specifier.JobID]bool // jobs that the harness submitted itself
}

// newHarness starts a site of two entries, three controllers and four workers. watch receives every start of a task.
func newHarness(t *testing.T, watch *startWatch) *harness {
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	starts := &emulator.StartLog{Out: watch}
	joins := newJoinWatch(2)
	claim, err := deployer.NewClaim()
	must.NoError(t, err)
	site := &deployer.Site{
		Layout:     claim.Layout,
		DataFolder: t.TempDir(), Zones: []string{"alajuela", "heredia", "cartago"}, Service: "reservas",
		Entries: 2, Controllers: 3, Workers: 4, MemberLease: memberLease, Starts: starts, Log: zerolog.New(joins),
		Profiles: []specifier.Profile{{Name: "hold", Service: "reservas"}, {Name: "quote", Service: "reservas", Repeatable: true}},
	}
	transport := &http.Transport{MaxIdleConnsPerHost: 2 * requestCopies}
	h := &harness{t: t, ctx: ctx, site: site, starts: starts, watch: watch, warmUpJobs: make(map[specifier.JobID]bool),
		sender: &submitter.Submitter{Client: &http.Client{Transport: transport}}}
	for i := range site.Entries {
		h.sender.Entries = append(h.sender.Entries, site.Layout.Entry(i))
	}
	err = site.Start(ctx)
	t.Cleanup(func() {
		must.NoError(t, site.Stop())
		transport.CloseIdleConnections()
		claim.Release()
		cancel()
	})
	must.NoError(t, err)
	h.warmUp()
	// Until all controllers are voters, the cluster does not survive the loss of its first controller.
	h.await(joins.joined, "not all controllers became voters")
	return h
}

// warmUp submits jobs until every entry has had a task run by every agent.
func (h *harness) warmUp() {
	keys, err := h.sender.WarmUp(h.ctx, newJob("hold", h.site.Slots(), 20*time.Millisecond), h.site.Workers)
	must.NoError(h.t, err)
	for _, key := range keys {
		h.warmUpJobs[jobID(key)] = true
	}
	h.watch.reset()
}

// newJob returns a job whose tasks all take the same time.
func newJob(profile string, tasks int, run time.Duration) tracer.Job {
	job := tracer.Job{Team: teamName, Profile: profile, TimeLeftMillis: 60_000}
	for range tasks {
		job.RunMillis = append(job.RunMillis, int(run.Milliseconds()))
	}
	return job
}

func jobID(key string) specifier.JobID { return specifier.NewJobID(teamName, key) }

// submitUntilAnswered submits a job until it is answered, and changes the entry whenever a connection breaks.
func (h *harness) submitUntilAnswered(entry int, key string, body []byte) answerer.Response {
	for ; h.ctx.Err() == nil; entry++ {
		response, _, err := h.sender.Post(h.ctx, entry, key, body)
		if err == nil {
			return response
		}
	}
	return answerer.Response{}
}

// submitCopies sends copies of one request through all entries concurrently. wait returns the answers.
func (h *harness) submitCopies(key string, job tracer.Job) (wait func() []answerer.Response) {
	body, err := json.Marshal(submitter.NewSubmission(job))
	must.NoError(h.t, err)
	responses := make([]answerer.Response, requestCopies)
	var group sync.WaitGroup
	for i := range requestCopies {
		group.Go(func() { responses[i] = h.submitUntilAnswered(i, key, body) })
	}
	return func() []answerer.Response {
		group.Wait()
		must.NoError(h.t, h.ctx.Err(), must.Func(func() string { return h.timeline(key) }))
		return responses
	}
}

// awaitStarts waits until the watch has seen as many starts as its threshold.
func (h *harness) awaitStarts() {
	h.t.Helper()
	h.await(h.watch.reached, "the tasks did not start")
}

func (h *harness) await(condition <-chan struct{}, message string) {
	h.t.Helper()
	select {
	case <-condition:
	case <-h.ctx.Done():
		h.t.Fatal(message)
	}
}

// owner returns the index of the entry that owns the job, which is the one whose proposal was accepted.
func (h *harness) owner(key string) int {
	events, _ := h.site.Events()
	for _, event := range events {
		if event.Kind != recorder.JobAccepted || event.Job != jobID(key) {
			continue
		}
		for i := range h.site.Entries {
			if recorder.ProcessName(event.Process) == fmt.Sprintf("entry-%d", i+1) {
				return i
			}
		}
	}
	h.t.Fatal("no entry owns the job")
	return 0
}

// mustAgree checks that every caller got the same answer, and returns it.
func (h *harness) mustAgree(responses []answerer.Response) answerer.Response {
	h.t.Helper()
	for _, response := range responses {
		must.Eq(h.t, responses[0], response)
	}
	return responses[0]
}

// mustCountStarts checks in the upstreams' log how often each task of a job started.
func (h *harness) mustCountStarts(key string, tasks, minStarts, maxStarts int) {
	h.t.Helper()
	for i := range tasks {
		must.Between(h.t, minStarts, h.starts.StartsOf(jobID(key).String(), fmt.Sprintf("t%03d", i)), maxStarts, must.Sprintf("starts of %s task %d", key, i))
	}
}

// mustMatchStarts compares one answer with the upstreams' log of starts.
func (h *harness) mustMatchStarts(key string, tasks int, response answerer.Response) {
	h.t.Helper()
	switch response.Outcome {
	case specifier.Complete:
		must.Len(h.t, tasks, response.Results)
		h.mustCountStarts(key, tasks, 1, 1)
	case specifier.NotRun:
		h.mustCountStarts(key, tasks, 0, 0)
	case specifier.Failed:
		h.mustCountStarts(key, tasks, 0, 1)
	default:
		h.t.Fatalf("%s: outcome %q", key, response.Outcome)
	}
}

// mustKeepGuarantees checks every guarantee against the recorded events of all processes.
func (h *harness) mustKeepGuarantees(tasks int, repeatable bool) {
	h.t.Helper()
	events, dropped := h.site.Events()
	must.Zero(h.t, dropped)
	facts := verifier.Facts{
		Tasks: func(id specifier.JobID) int {
			if h.warmUpJobs[id] {
				return h.site.Slots()
			}
			return tasks
		},
		Repeatable: func(specifier.JobID) bool { return repeatable },
	}
	for _, violation := range verifier.Check(events, facts) {
		h.t.Error(violation)
	}
}

// timeline lists the events of one job and those that concern no job, for the message of a failed test.
func (h *harness) timeline(key string) string {
	events, _ := h.site.Events()
	var text strings.Builder
	_ = merger.WriteText(&text, merger.Merge([]merger.Log{{Events: slices.DeleteFunc(events, func(event recorder.Event) bool {
		return event.Job != jobID(key) && event.Job != (specifier.JobID{})
	})}}), specifier.JobID{})
	return text.String()
}
