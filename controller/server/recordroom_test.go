package server

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"oleandertally/core/specifier"
)

// submitRecorded submits a job that must be recorded until a leader accepts or refuses it, and reports whether it was accepted.
func (c *cluster) submitRecorded(id string) bool {
	c.t.Helper()
	call := specifier.QueueCall{Verb: specifier.SubmitQueued, Host: "nony24.example", Path: "/prefix-000000/" + id, TimeLeft: time.Second,
		Job: specifier.QueuedJob{ID: id, Content: strings.Repeat("c", specifier.MaxQueuedContent), Steps: []specifier.Step{{Count: 1, Estimate: time.Second}}}}
	return c.mustCallQueues(call, specifier.QueueOK, specifier.QueueRefused).Result == specifier.QueueOK
}

// Guards against jobs that are recorded until the disks of all controllers are full of them. Nothing frees such disks, since a snapshot holds
// the records too.
func TestManyRecordedJobs(t *testing.T) {
	c := newCluster(t, 3)
	rooms := c.limitDisks(testDisk)
	c.begin()
	c.mustPutManifest(manifest(1, testManifest))
	accepted := 0
	for i := range 2 * testDisk / specifier.MaxQueuedContent {
		if c.submitRecorded(fmt.Sprintf("job-%d", i)) {
			accepted++
		}
	}
	must.Positive(t, accepted)
	c.restartAll()
	c.mustReadManifest(manifest(1, testManifest))
	t.Logf("accepted %d jobs", accepted)
	assertNeverFull(t, rooms)
}
