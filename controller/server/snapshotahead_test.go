package server

import (
	"context"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"oleandertally/core/specifier"
)

// Guards against a controller that can't start, or appends at the wrong index, after a crash between the installation of a
// snapshot and the reset of the journal. The journal then ends before the snapshot.
func TestSnapshotAhead(t *testing.T) {
	c := newCluster(t, 1)
	c.consensus.SnapshotEvery, c.consensus.KeepEntries = 20, 0
	c.begin()
	accept := func(from, to int) {
		for i := from; i < to; i++ {
			must.Eq(t, specifier.Accepted, c.propose(c.accept(i)).Verdict)
		}
	}
	journals := func() []string {
		names, err := filepath.Glob(filepath.Join(c.dataFolder(0), "*.journal"))
		must.NoError(t, err)
		return names
	}
	accept(0, 5)
	earlyJournals := journals()
	must.Len(t, 1, earlyJournals)
	earlyContent, err := os.ReadFile(earlyJournals[0])
	must.NoError(t, err)
	accept(5, 60)
	c.waitSnapshot(0, 40) // saved in the background
	must.ErrorIs(t, c.kill(0), context.Canceled)
	for _, name := range journals() {
		must.NoError(t, os.Remove(name))
	}
	must.NoError(t, os.WriteFile(earlyJournals[0], earlyContent, 0o600))
	for round := range 2 {
		c.start(0, false)
		c.assertAccepted(20) // all of them are in the snapshot
		must.Eq(t, specifier.Accepted, c.propose(c.accept(100+round)).Verdict)
		must.ErrorIs(t, c.kill(0), context.Canceled)
	}
	c.start(0, false)
	conflicting := c.accept(100)
	conflicting.Digest[0] = 2
	must.Eq(t, specifier.Conflict, c.propose(conflicting).Verdict)
}

// waitSnapshot waits until a controller has saved a snapshot that covers an index.
func (c *cluster) waitSnapshot(i int, index uint64) {
	c.t.Helper()
	must.Wait(c.t, wait.InitialSuccess(wait.BoolFunc(func() bool {
		names, err := filepath.Glob(filepath.Join(c.dataFolder(i), "*.snapshot"))
		must.NoError(c.t, err)
		return slices.ContainsFunc(names, func(name string) bool {
			digits, _, _ := strings.Cut(filepath.Base(name), ".")
			saved, err := strconv.ParseUint(digits, 16, 64)
			return err == nil && saved >= index
		})
	}), wait.Timeout(20*time.Second), wait.Gap(5*time.Millisecond)))
}
