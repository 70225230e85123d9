package deployer

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"golang.org/x/sync/errgroup"

	"oleandertally/core/recorder"
	"oleandertally/core/specifier"
	"oleandertally/local/emulator"
	"oleandertally/local/submitter"
	"oleandertally/replay/tracer"
)

// timeline lists the recorded events of a site, for the message of a failed test.
func timeline(site *Site) string {
	var text strings.Builder
	events, _ := site.Events()
	slices.SortStableFunc(events, func(a, b recorder.Event) int { return a.At.Compare(b.At) })
	for _, event := range events {
		fmt.Fprintf(&text, "%s %s %s %.4s task=%s epoch=%d other=%s %s\n", event.At.Format("05.000"), event.Process, event.Kind, event.Job, event.Task,
			event.Epoch, event.Other, event.Detail)
	}
	return text.String()
}

// Guards against a drain of the whole site that aborts jobs in flight or never finishes.
func TestDrainAnswersJobsInFlight(t *testing.T) {
	starts := &emulator.StartLog{}
	site := startSite(t, starts)
	sender := &submitter.Submitter{Client: &http.Client{Transport: &http.Transport{}}, Entries: []netip.AddrPort{site.Layout.Entry(0), site.Layout.Entry(1)}}
	for entry := range site.Entries {
		awaitService(t, site, sender, entry)
	}
	ctx, cancel := context.WithTimeout(t.Context(), stopTimeout)
	defer cancel()
	var group errgroup.Group
	results := make([]submitter.Result, 6)
	for i := range results {
		group.Go(func() error {
			job := tracer.Job{Entry: i % 2, Team: "web", Profile: "hold", TimeLeftMillis: 20_000, RunMillis: []int{1000}}
			results[i] = sender.Submit(ctx, job, fmt.Sprintf("drain-%d", i))
			return nil
		})
	}
	started := func() bool { tasks, _ := starts.Count(); return tasks >= len(results)+site.Entries }
	for !started() {
		select {
		case <-ctx.Done():
			t.Fatalf("the jobs did not start\n%s", timeline(site))
		case <-time.After(10 * time.Millisecond):
		}
	}
	must.NoError(t, site.Drain(ctx))
	must.NoError(t, group.Wait())
	must.NoError(t, site.Stop())
	for _, result := range results {
		must.NoError(t, result.Err)
		must.Eq(t, specifier.Complete, result.Response.Outcome)
	}
}
