package server

import (
	"context"
	"encoding/binary"
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"oleandertally/core/configurator"
	"oleandertally/core/encoder"
	"oleandertally/core/specifier"
	"oleandertally/state/journaler"
)

// Sizes of the tests with a limited disk, in bytes.
const (
	testDisk     = 4 << 20
	testManifest = 24 << 10
)

// limitDisks gives each controller a disk of the same size.
func (c *cluster) limitDisks(limit int64) []*room {
	c.diskLimit = configurator.ByteSize(limit)
	rooms := make(map[string]*room)
	var list []*room
	for i := range c.running {
		each := &room{limit: limit, sizes: make(map[string]int64)}
		rooms[c.dataFolder(i)], list = each, append(list, each)
	}
	c.openFolder = func(path string) (folder, error) {
		disk, err := journaler.OpenDisk(path)
		if err != nil {
			return nil, err
		}
		return &limitedFolder{Disk: disk, room: rooms[path]}, nil
	}
	return list
}

// manifest returns a manifest whose queues take about as many bytes as its document. The document begins with the version.
func manifest(version uint64, size int) *specifier.Manifest {
	m := &specifier.Manifest{Version: version, Document: make([]byte, size/2)}
	binary.BigEndian.PutUint64(m.Document, version)
	for i := range size / 2 / 64 {
		m.Queues = append(m.Queues, specifier.Queue{Name: fmt.Sprintf("queue-%06d", i), Host: "nony24.example",
			Prefix: fmt.Sprintf("/prefix-%06d/", i), Pool: "pool", MaxAttempts: 1, Stretch: 1.5, Target: time.Second})
	}
	return m
}

// callQueues sends one call to a controller and returns its reply.
func (c *cluster) callQueues(i int, call specifier.QueueCall) (specifier.QueueReply, error) {
	conn, err := c.pool.Conn(c.peers[i].Addr)
	if err != nil {
		return specifier.QueueReply{}, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	stream, err := encoder.NewQueueKeeperClient(conn).Call(ctx)
	if err != nil {
		return specifier.QueueReply{}, err
	}
	if err := stream.Send(&encoder.QueueCalls{Items: []*encoder.QueueCall{encoder.EncodeQueueCall(1, call)}}); err != nil {
		return specifier.QueueReply{}, err
	}
	for {
		replies, err := stream.Recv()
		if err != nil {
			return specifier.QueueReply{}, err
		}
		if len(replies.Items) > 0 {
			return encoder.DecodeQueueReply(replies.Items[0]), nil
		}
	}
}

// mustCallQueues sends a call to the controllers in turn until one answers with one of the results.
func (c *cluster) mustCallQueues(call specifier.QueueCall, results ...specifier.QueueResult) specifier.QueueReply {
	c.t.Helper()
	var reply specifier.QueueReply
	must.Wait(c.t, wait.InitialSuccess(wait.BoolFunc(func() bool {
		for i := range c.running {
			var err error
			if reply, err = c.callQueues(i, call); err == nil && slices.Contains(results, reply.Result) {
				return true
			}
		}
		return false
	}), wait.Timeout(20*time.Second), wait.Gap(5*time.Millisecond)))
	return reply
}

func (c *cluster) mustPutManifest(m *specifier.Manifest) {
	c.t.Helper()
	c.mustCallQueues(specifier.QueueCall{Verb: specifier.PutManifest, Manifest: m}, specifier.QueueOK)
}

func (c *cluster) mustReadManifest(want *specifier.Manifest) {
	c.t.Helper()
	must.Eq(c.t, want.Document, c.mustCallQueues(specifier.QueueCall{Verb: specifier.GetManifest}, specifier.QueueOK).Document)
}

// restartAll kills all controllers and starts them again.
func (c *cluster) restartAll() {
	c.t.Helper()
	for i := range c.running {
		_ = c.kill(i) // ended by its context
	}
	for i := range c.running {
		c.start(i, false)
	}
}

// assertNeverFull fails the test if a write did not fit on one of the disks.
func assertNeverFull(t *testing.T, rooms []*room) {
	t.Helper()
	for _, each := range rooms {
		peak, rejected := each.use()
		must.Zero(t, rejected, must.Sprintf("most bytes on the disk: %d", peak))
		t.Logf("most bytes on the disk: %d of %d", peak, each.limit)
	}
}

var (
	manifestCount = flag.Int("manifests", 3*testDisk/testManifest, "changes of the manifest in TestManyLargeManifests")
	manifestSize  = flag.Int("manifest-bytes", testManifest, "size of each")
	diskSize      = flag.Int64("disk-bytes", testDisk, "size of each controller's disk")
)

// Guards against a log that fills the disks of all controllers with changes of a large manifest, which were once removed only after a
// number of entries, and against a cluster that never answers again once the disks are full. With the sizes of the smallest site:
// go test ./controller/server -run TestManyLargeManifests -v -manifests 5000 -manifest-bytes 400000 -disk-bytes 128000000 -timeout 30m
func TestManyLargeManifests(t *testing.T) {
	c := newCluster(t, 3)
	c.consensus.MaxEntry = 8 << 20 // as on the users' platform
	rooms := c.limitDisks(*diskSize)
	c.begin()
	last := manifest(0, *manifestSize)
	put := func(count int) {
		for range count {
			last = manifest(last.Version+1, *manifestSize)
			c.mustPutManifest(last)
		}
	}
	put(*manifestCount)
	c.mustReadManifest(last)
	t.Run("after a restart of all", func(t *testing.T) {
		c.restartAll()
		c.mustReadManifest(last)
	})
	t.Run("a controller that was away gets what it missed", func(t *testing.T) {
		away := (c.leader() + 1) % 3
		_ = c.kill(away) // ended by its context
		put(*manifestCount / 4)
		c.start(away, false)
		c.waitVoters(3)
		_ = c.kill((away + 1) % 3) // ended by its context; the majority needs the controller that was away
		c.mustReadManifest(last)
		c.start((away+1)%3, false)
	})
	t.Run("a controller with an empty disk gets the state", func(t *testing.T) {
		lost := (c.leader() + 1) % 3
		_ = c.kill(lost) // ended by its context
		must.NoError(t, os.RemoveAll(c.dataFolder(lost)))
		rooms[lost].clear()
		c.start(lost, false)
		put(*manifestCount / 4)
		c.waitVoters(3)
		c.mustReadManifest(last)
	})
	assertNeverFull(t, rooms)
}

// fillDisks changes the manifest until no disk takes two more changes, and returns the last version.
func (c *cluster) fillDisks(rooms []*room) uint64 {
	c.t.Helper()
	full := func(each *room) bool { return each.used()+2*testManifest > each.limit }
	for version := uint64(1); ; version++ {
		c.mustPutManifest(manifest(version, testManifest))
		if slices.ContainsFunc(rooms, full) {
			return version
		}
	}
}

// Guards against controllers whose disks were filled by a version without a limit, and which fill the larger disks too that an operator
// gives them.
func TestFullDisksGetMoreRoom(t *testing.T) {
	const small, large = testDisk / 2, testDisk
	c := newCluster(t, 3)
	rooms := c.limitDisks(small)
	c.diskLimit = 0
	c.begin()
	acknowledged := c.fillDisks(rooms)
	for _, each := range rooms {
		each.setLimit(large)
	}
	c.diskLimit = small
	c.restartAll()
	c.mustReadManifest(manifest(acknowledged, testManifest))
	version := acknowledged
	put := func(bytes int) {
		for range bytes / testManifest {
			version++
			c.mustPutManifest(manifest(version, testManifest))
		}
	}
	put(2 * shareDisk(small).snapshotBytes) // the newest file of the log goes once no entry in it is kept
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool {
		return !slices.ContainsFunc(rooms, func(each *room) bool { return each.used() > small/2 })
	}), wait.Timeout(20*time.Second), wait.Gap(5*time.Millisecond)))
	t.Run("the log fits on the small disks again", func(t *testing.T) {
		for _, each := range rooms {
			each.setLimit(small)
		}
		c.restartAll()
		put(2 * small)
	})
	assertNeverFull(t, rooms)
}
