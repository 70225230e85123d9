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
	"oleandertally/entry/responder"
	"oleandertally/local/deployer"
	"oleandertally/local/emulator"
	"oleandertally/local/submitter"
	"oleandertally/replay/tracer"
)

const (
	copies = 100
	team   = "web"
	// lease is short because a takeover waits for it.
	lease = 2 * time.Second
	// bound ends a test whose answers never come.
	bound = 45 * time.Second
)

// harness is a site, callers, and the upstreams' own account of what ran.
type harness struct {
	t      *testing.T
	ctx    context.Context
	site   *deployer.Site
	starts *emulator.StartLog
	watch  *startWatch
	sender *submitter.Submitter

	warmUps map[specifier.JobID]bool // the harness's own jobs
}

// newHarness starts a site of two entries, three controllers and four workers. watch is told of every start.
func newHarness(t *testing.T, watch *startWatch) *harness {
	ctx, cancel := context.WithTimeout(t.Context(), bound)
	starts := &emulator.StartLog{Out: watch}
	joins := newJoinWatch(2)
	claim, err := deployer.NewClaim()
	must.NoError(t, err)
	site := &deployer.Site{
		Layout:     claim.Layout,
		DataFolder: t.TempDir(), Zones: []string{"alajuela", "heredia", "cartago"}, Service: "reservas",
		Entries: 2, Controllers: 3, Workers: 4, MemberLease: lease, Starts: starts, Log: zerolog.New(joins),
		Profiles: []specifier.Profile{{Name: "hold", Service: "reservas"}, {Name: "quote", Service: "reservas", Repeatable: true}},
	}
	transport := &http.Transport{MaxIdleConnsPerHost: 2 * copies}
	h := &harness{t: t, ctx: ctx, site: site, starts: starts, watch: watch, warmUps: make(map[specifier.JobID]bool),
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
	h.warm()
	// A cluster whose controllers are not all voters yet does not survive the loss of its first one.
	h.await(joins.joined, "the controllers did not all join")
	return h
}

// warm waits until every entry has sent a task to every agent.
func (h *harness) warm() {
	keys, err := h.sender.Warm(h.ctx, newJob("hold", h.site.Slots(), 20*time.Millisecond), h.site.Workers)
	must.NoError(h.t, err)
	for _, key := range keys {
		h.warmUps[idOf(key)] = true
	}
	h.watch.arm()
}

// newJob returns a job of equal tasks.
func newJob(profile string, tasks int, run time.Duration) tracer.Job {
	job := tracer.Job{Team: team, Profile: profile, TimeLeftMillis: 60_000}
	for range tasks {
		job.RunMillis = append(job.RunMillis, int(run.Milliseconds()))
	}
	return job
}

func idOf(key string) specifier.JobID { return specifier.NewJobID(team, key) }

// call submits until an answer comes, through the other entry whenever the connection breaks.
func (h *harness) call(entry int, key string, body []byte) responder.Response {
	for ; h.ctx.Err() == nil; entry++ {
		response, _, err := h.sender.Post(h.ctx, entry, key, body)
		if err == nil {
			return response
		}
	}
	return responder.Response{}
}

// callAll sends one body in copies through all entries at once; the answers come from wait.
func (h *harness) callAll(key string, job tracer.Job) (wait func() []responder.Response) {
	body, err := json.Marshal(submitter.NewSubmission(job))
	must.NoError(h.t, err)
	responses := make([]responder.Response, copies)
	var group sync.WaitGroup
	for i := range copies {
		group.Go(func() { responses[i] = h.call(i, key, body) })
	}
	return func() []responder.Response {
		group.Wait()
		must.NoError(h.t, h.ctx.Err(), must.Func(func() string { return h.story(key) }))
		return responses
	}
}

// awaitStarts waits until the watch has seen its number of starts.
func (h *harness) awaitStarts() {
	h.t.Helper()
	h.await(h.watch.reached, "the tasks did not start")
}

func (h *harness) await(state <-chan struct{}, otherwise string) {
	h.t.Helper()
	select {
	case <-state:
	case <-h.ctx.Done():
		h.t.Fatal(otherwise)
	}
}

// owner returns the index of the entry whose proposal was accepted.
func (h *harness) owner(key string) int {
	events, _ := h.site.Events()
	for _, event := range events {
		if event.Kind != recorder.JobAccepted || event.Job != idOf(key) {
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

// mustAgree checks that every caller got the same whole answer, and returns it.
func (h *harness) mustAgree(responses []responder.Response) responder.Response {
	h.t.Helper()
	for _, response := range responses {
		must.Eq(h.t, responses[0], response)
	}
	return responses[0]
}

// mustStart checks the upstreams' own count of the starts of every task of a job.
func (h *harness) mustStart(key string, tasks, least, most int) {
	h.t.Helper()
	for i := range tasks {
		must.Between(h.t, least, h.starts.Of(idOf(key).String(), fmt.Sprintf("t%03d", i)), most, must.Sprintf("starts of %s task %d", key, i))
	}
}

// mustBeTrue checks one answer against the upstreams' own log of starts.
func (h *harness) mustBeTrue(key string, tasks int, response responder.Response) {
	h.t.Helper()
	switch response.Outcome {
	case specifier.Complete:
		must.Len(h.t, tasks, response.Results)
		h.mustStart(key, tasks, 1, 1)
	case specifier.NotRun:
		h.mustStart(key, tasks, 0, 0)
	case specifier.Failed:
		h.mustStart(key, tasks, 0, 1)
	default:
		h.t.Fatalf("%s: outcome %q", key, response.Outcome)
	}
}

// mustHold checks every promise over the recorded events of all processes.
func (h *harness) mustHold(tasks int, repeatable bool) {
	h.t.Helper()
	events, dropped := h.site.Events()
	must.Zero(h.t, dropped)
	facts := verifier.Facts{
		Tasks: func(id specifier.JobID) int {
			if h.warmUps[id] {
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

// story lists what the processes recorded of a job, and every loss, for the report of a failure.
func (h *harness) story(key string) string {
	events, _ := h.site.Events()
	var text strings.Builder
	_ = merger.WriteText(&text, merger.Merge([]merger.Log{{Events: slices.DeleteFunc(events, func(event recorder.Event) bool {
		return event.Job != idOf(key) && event.Job != (specifier.JobID{})
	})}}), specifier.JobID{})
	return text.String()
}
