package coordinator_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"oleandertally/core/recorder"
	"oleandertally/core/specifier"
	"oleandertally/core/verifier"
	"oleandertally/entry/coordinator"
	"oleandertally/state/registrar"
)

const (
	slots = 2
	lease = 3 * time.Second
)

// cluster connects several coordinators and executors and one registrar by queues. The test controls the clock and
// decides which messages are delivered, lost or delayed.
type cluster struct {
	t            testing.TB
	now          time.Time
	index        uint64
	state        *registrar.Registrar
	entries      []*entryNode
	agents       []*agentNode
	streams      map[string]*agentStream
	stalledTicks int    // consecutive ticks that did not advance the clock
	lastID       uint64 // last number given to a stream, waiter or incarnation
	events       []recorder.Event
	sequences    map[string]uint64
	replies      map[coordinator.Waiter][]specifier.Answer
	openRequests map[coordinator.Waiter]bool // requests of callers, except those whose entry was killed before it answered
	requestEntry map[coordinator.Waiter]specifier.Identity
	requestJob   map[coordinator.Waiter]specifier.JobID
}

func newCluster(t testing.TB, entries, agents int) *cluster {
	c := &cluster{t: t, now: time.Date(2026, 5, 4, 9, 0, 0, 0, time.UTC), state: registrar.New(1000), streams: make(map[string]*agentStream),
		sequences: make(map[string]uint64), replies: make(map[coordinator.Waiter][]specifier.Answer), openRequests: make(map[coordinator.Waiter]bool), requestEntry: make(map[coordinator.Waiter]specifier.Identity),
		requestJob: make(map[coordinator.Waiter]specifier.JobID)}
	c.apply(specifier.ChangeConfiguration{RequestID: "first", Operator: "test", Profiles: []specifier.Profile{
		{Name: "hold", Service: "s"}, {Name: "quote", Service: "s", Repeatable: true}}})
	for i := range entries {
		c.entries = append(c.entries, &entryNode{})
		c.startEntry(i)
	}
	for i := range agents {
		c.agents = append(c.agents, &agentNode{})
		c.startAgent(i)
	}
	c.connectAll()
	c.publish()
	return c
}

func (c *cluster) nextID() uint64 { c.lastID++; return c.lastID }

func (c *cluster) apply(command specifier.Command) specifier.Decision {
	c.index++
	return c.state.Apply(c.index, specifier.Batch{Commands: []specifier.Command{command}})[0]
}

// mustKeepGuarantees checks every guarantee against the recorded events, and that each open request got exactly one answer.
func (c *cluster) mustKeepGuarantees() {
	c.t.Helper()
	repeatable := func(id specifier.JobID) bool { return c.isRepeatable(id) }
	for _, violation := range verifier.Check(c.events, verifier.Facts{Repeatable: repeatable}) {
		c.t.Fatalf("%s\n%s", violation, c.timeline(violation.Event.Job))
	}
	for _, waiter := range sortedKeys(c.openRequests) {
		if len(c.replies[waiter]) != 1 {
			c.t.Fatalf("waiter %d at %s got %d answers\n%s", waiter, c.requestEntry[waiter], len(c.replies[waiter]), c.timeline(c.requestJob[waiter]))
		}
	}
}

func (c *cluster) isRepeatable(id specifier.JobID) bool {
	for i := range 100 {
		if job := newJob(i, 1); job.ID == id {
			return job.Profile == "quote"
		}
	}
	return false
}

// timeline lists the events of a job for a failure message.
func (c *cluster) timeline(id specifier.JobID) string {
	text := ""
	for _, event := range c.events {
		if event.Job == id || event.Kind == recorder.MemberDown {
			text += fmt.Sprintf("%s %s #%d %s task=%s epoch=%d other=%s %s\n", event.At.Format("05.000"), event.Process, event.Sequence,
				event.Kind, event.Task, event.Epoch, event.Other, event.Detail)
		}
	}
	return text
}

// newJob returns job i; every third one is repeatable.
func newJob(i, tasks int) specifier.Job {
	job := specifier.Job{Team: "team", Key: fmt.Sprintf("key-%d", i), Profile: "hold"}
	if i%3 == 2 {
		job.Profile = "quote"
	}
	job.ID = specifier.NewJobID(job.Team, job.Key)
	for t := range tasks {
		job.Tasks = append(job.Tasks, specifier.Task{ID: fmt.Sprintf("t%d", t), Payload: []byte("{}")})
	}
	return job
}

func sortedKeys[K ~uint64, V any](m map[K]V) []K {
	var keys []K
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func mustOutcome(t *testing.T, c *cluster, waiter coordinator.Waiter, outcome specifier.Outcome, reason specifier.Reason) {
	t.Helper()
	must.Len(t, 1, c.replies[waiter])
	must.Eq(t, outcome, c.replies[waiter][0].Outcome)
	must.Eq(t, reason, c.replies[waiter][0].Reason)
}
