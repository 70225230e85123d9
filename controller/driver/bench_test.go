package driver_test

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"oleandertally/controller/dispatcher"
	"oleandertally/controller/driver"
	"oleandertally/controller/sequencer"
	"oleandertally/core/encoder"
	"oleandertally/core/specifier"
	"oleandertally/state/jobrecorder"
	"oleandertally/state/registrar"
	"oleandertally/state/replicator"
)

// bench is a single controller whose disk syncs immediately, so that only the control goroutine's work is measured.
type bench struct {
	b       *testing.B
	now     time.Time
	machine *driver.Driver
	next    uint64
	logged  int // bytes of entries
}

func newBench(b *testing.B) *bench {
	self := replicator.ServerID{Name: "controller-1", Disk: 1}
	node := &replicator.Node{Self: self, Settings: replicator.Defaults(), Random: rand.New(rand.NewPCG(1, 1))}
	node.Settings.SnapshotEvery, node.Settings.SnapshotBytes, node.Settings.MaxLog = 1<<30, 1<<40, 1<<41
	state := registrar.New(4_000_000)
	c := &bench{b: b, now: time.Date(2026, 5, 4, 9, 0, 0, 0, time.UTC), machine: driver.New(node, sequencer.New(state),
		&dispatcher.Dispatcher{Recorder: jobrecorder.New(time.Minute), Settings: dispatcher.Defaults()})}
	c.machine.Fault = func(err error) { b.Fatal(err) }
	c.machine.Sequencer.Lease, c.machine.Sequencer.Leading = time.Hour, node.Leading
	c.machine.Sequencer.Size = func(command specifier.Command) (int, error) { return proto.Size(encoder.EncodeCommand(command)), nil }
	c.machine.Sequencer.MaxBatch, c.machine.Sequencer.MaxBytes, c.machine.Sequencer.MaxSubmissions = 4096, 1<<20, 4_000_000
	c.log(replicator.Started{})
	c.log(replicator.Bootstrap{Servers: []replicator.Server{{ID: self, Addr: netip.MustParseAddrPort("127.0.0.1:1"), Voter: true}}})
	for c.now = c.now.Add(time.Minute); !node.Leading(c.now); c.now = c.now.Add(time.Second) {
		c.take(c.machine.Expire(c.now))
	}
	entry := specifier.Member{Identity: owner, Role: specifier.Entry, Addr: netip.MustParseAddrPort("127.0.0.1:2"), Zone: "alajuela"}
	c.propose(specifier.JoinMember{Member: entry})
	return c
}

var owner = specifier.Identity{Name: "entry-1", Incarnation: 1}

func (c *bench) log(event replicator.Event) { c.take(c.machine.Step(c.now, driver.Event{Log: event})) }

// take reports every write as synced.
func (c *bench) take(actions []driver.Action) {
	var write replicator.Write
	for _, action := range actions {
		switch log := action.Log.(type) {
		case replicator.Append:
			write = log.Write
			for _, entry := range log.Entries {
				c.logged += len(entry.Data)
			}
		case replicator.Persist:
			write = log.Write
		}
	}
	if write > 0 {
		c.log(replicator.Synced{Write: write})
	}
}

func (c *bench) propose(command specifier.Command) {
	c.next++
	event := sequencer.Proposed{Stream: 1, Sequence: c.next, Command: command}
	c.take(c.machine.Step(c.now, driver.Event{Control: event}))
}

func (c *bench) accept() {
	var job specifier.JobID
	binary.BigEndian.PutUint64(job[:], c.next*0x9e3779b97f4a7c15)
	c.propose(specifier.AcceptJob{Job: job, Digest: specifier.Digest{1}, Owner: owner, TaskCount: 8, TimeLeft: time.Minute})
}

// BenchmarkAcceptance measures the control goroutine's time for an acceptance alone in its log entry, and the bytes that are
// written to the disk and sent to each follower for it.
func BenchmarkAcceptance(b *testing.B) {
	for _, size := range []int{1_000, 10_000, 100_000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			c := newBench(b)
			for range size {
				c.accept()
			}
			c.logged = 0
			for b.Loop() {
				c.accept()
			}
			b.ReportMetric(float64(c.logged)/float64(b.N), "B/command")
		})
	}
}
