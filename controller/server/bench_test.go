package server

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"os"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc/stats"

	"oleandertally/core/dialer"
	"oleandertally/core/encoder"
	"oleandertally/core/operator"
	"oleandertally/core/registrant"
	"oleandertally/core/specifier"
	"oleandertally/state/journaler"
)

// timeSync returns the duration of a write of 200 bytes and its sync, in the folder of the cluster.
func (c *cluster) timeSync(file *os.File) time.Duration {
	began := time.Now()
	_, err := file.Write(make([]byte, 200))
	must.NoError(c.t, err)
	time.Sleep(c.syncDelay)
	must.NoError(c.t, file.Sync())
	return time.Since(began)
}

// BenchmarkAccept measures the latency of acceptances with a number of them in flight on one stream, and for comparison
// the latency of 400 syncs of the same disk, half before and half after. The same delay is added to every sync.
func BenchmarkAccept(b *testing.B) {
	for _, delay := range []time.Duration{0, 4 * time.Millisecond} {
		for _, inFlight := range []int{1, 8, 64, 512} {
			b.Run(fmt.Sprintf("added=%v/inflight=%d", delay, inFlight), func(b *testing.B) {
				c := newCluster(b, 3)
				c.syncDelay = delay
				c.openFolder = func(path string) (folder, error) {
					disk, err := journaler.OpenDisk(path)
					return &slowFolder{Disk: disk, delay: delay}, err
				}
				c.begin().measureAccept(b, inFlight)
			})
		}
	}
}

func (c *cluster) measureAccept(b *testing.B, inFlight int) {
	conn, err := c.pool.Conn(c.peers[c.leader()].Addr)
	must.NoError(b, err)
	stream, err := encoder.NewRegistryClient(conn).Propose(b.Context())
	must.NoError(b, err)
	file, err := os.Create(filepath.Join(c.folder, "probe"))
	must.NoError(b, err)
	defer file.Close()
	accepts, syncs := hdrhistogram.New(1, int64(time.Minute), 3), hdrhistogram.New(1, int64(time.Minute), 3)
	for range 200 {
		must.NoError(b, syncs.RecordValue(int64(c.timeSync(file))))
	}
	sent := make([]time.Time, b.N)
	slots := make(chan struct{}, inFlight)
	b.ResetTimer()
	began := time.Now()
	var group errgroup.Group
	group.Go(func() error {
		for i := range b.N {
			slots <- struct{}{}
			sent[i] = time.Now()
			item := &encoder.Proposal{Sequence: uint64(i) + 1, Command: encoder.EncodeCommand(c.benchAccept(i))}
			if err := stream.Send(&encoder.Proposals{Items: []*encoder.Proposal{item}}); err != nil {
				return err
			}
		}
		return nil
	})
	for got := 0; got < b.N; {
		verdicts, err := stream.Recv()
		must.NoError(b, err)
		for _, verdict := range verdicts.Items {
			must.Eq(b, string(specifier.Accepted), verdict.Decision.Verdict)
			must.NoError(b, accepts.RecordValue(int64(time.Since(sent[verdict.Sequence-1]))))
			<-slots
			got++
		}
	}
	took := time.Since(began)
	must.NoError(b, group.Wait())
	b.StopTimer()
	for range 200 {
		must.NoError(b, syncs.RecordValue(int64(c.timeSync(file))))
	}
	rate, syncRate := float64(b.N)/took.Seconds(), float64(time.Second)/syncs.Mean()
	b.ReportMetric(float64(accepts.ValueAtQuantile(50))/1e6, "p50-ms")
	b.ReportMetric(float64(accepts.ValueAtQuantile(99))/1e6, "p99-ms")
	b.ReportMetric(float64(syncs.ValueAtQuantile(50))/1e6, "sync-p50-ms")
	b.ReportMetric(float64(syncs.ValueAtQuantile(99))/1e6, "sync-p99-ms")
	b.ReportMetric(rate, "accepts/s")
	b.ReportMetric(rate/syncRate, "accepts/sync")
}

func (c *cluster) benchAccept(i int) specifier.AcceptJob {
	job := specifier.AcceptJob{Owner: c.owner, TaskCount: 1, TimeLeft: time.Minute}
	hash := sha256.Sum256(binary.BigEndian.AppendUint64(nil, uint64(i)))
	copy(job.Job[:], hash[:])
	return job
}

// BenchmarkNoLeader measures the time from the kill of the leader to the next accepted submission, with the
// timeouts of replicator.Defaults.
func BenchmarkNoLeader(b *testing.B) {
	c := newCluster(b, 3)
	c.consensus.Heartbeat, c.consensus.Lease, c.consensus.ElectionTimeout = 200*time.Millisecond, 800*time.Millisecond, 1200*time.Millisecond
	c.begin()
	b.ResetTimer()
	for i := range b.N {
		b.StopTimer()
		c.waitVoters(3)
		leader := c.leader()
		b.StartTimer()
		_ = c.kill(leader)
		must.Eq(b, specifier.Accepted, c.propose(c.benchAccept(i)).Verdict)
		b.StopTimer()
		c.start(leader, false)
		b.StartTimer()
	}
}

// BenchmarkRecover measures how long a controller takes to open a data folder with a number of changes
// since its last snapshot.
func BenchmarkRecover(b *testing.B) {
	for _, changes := range []int{1_000, 10_000, 100_000} {
		b.Run(fmt.Sprint(changes), func(b *testing.B) {
			c := newCluster(b, 1)
			c.consensus.SnapshotEvery, c.consensus.SnapshotBytes, c.consensus.MaxLog = 1<<30, 1<<40, 1<<41
			c.begin().fill(changes)
			_ = c.kill(0)
			b.ResetTimer()
			for range b.N {
				began := time.Now()
				c.start(0, false)
				opened := time.Since(began)
				other := c.benchAccept(changes - 1)
				other.Digest[0] = 1 // conflicts with the last accepted submission
				must.Eq(b, specifier.Conflict, c.propose(other).Verdict)
				b.ReportMetric(opened.Seconds()*1e3, "open-ms")
				b.ReportMetric(time.Since(began).Seconds()*1e3, "first-answer-ms")
				_ = c.kill(0)
			}
		})
	}
}

// fill proposes count submissions, each in a message of its own, and waits for their verdicts.
func (c *cluster) fill(count int) {
	conn, err := c.pool.Conn(c.peers[0].Addr)
	must.NoError(c.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	stream, err := encoder.NewRegistryClient(conn).Propose(ctx)
	must.NoError(c.t, err)
	var group errgroup.Group
	group.Go(func() error {
		for i := range count {
			item := &encoder.Proposal{Sequence: uint64(i) + 1, Command: encoder.EncodeCommand(c.benchAccept(i))}
			if err := stream.Send(&encoder.Proposals{Items: []*encoder.Proposal{item}}); err != nil {
				return err
			}
		}
		return nil
	})
	for got := 0; got < count; {
		verdicts, err := stream.Recv()
		must.NoError(c.t, err)
		got += len(verdicts.Items)
	}
	must.NoError(c.t, group.Wait())
}

// BenchmarkIdleMembers measures the bytes and the processor time of members that only renew their leases, over real
// streams. The processor time is that of the whole process: members, controllers and TCP together.
func BenchmarkIdleMembers(b *testing.B) {
	for _, members := range []int{50, 200, 800} {
		b.Run(fmt.Sprint(members), func(b *testing.B) { newCluster(b, 3).measureMembers(b, members) })
	}
}

func (c *cluster) measureMembers(b *testing.B, members int) {
	c.memberLease = 3 * time.Second
	c.begin()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	counter := &byteCounter{}
	var group errgroup.Group
	for i := range members {
		member := registrant.New()
		member.Pool = &dialer.Pool{Credentials: c.pool.Credentials}
		member.Member = specifier.Member{Identity: specifier.Identity{Name: fmt.Sprintf("worker-%d", i), Incarnation: 1}, Role: specifier.Agent,
			Addr: c.peers[0].Addr, Zone: "heredia", Service: "reservas", Slots: 8}
		member.Load = func() *specifier.Load { return &specifier.Load{Slots: 8} }
		member.Log = zerolog.Nop()
		member.Notify = func(context.Context, registrant.Notification) error { return nil }
		for _, peer := range c.peers {
			member.Controllers = append(member.Controllers, peer.Addr)
		}
		group.Go(func() error { return member.Run(ctx) })
	}
	c.waitFor("all members", func(state operator.State) bool { return len(state.Members) == members+1 })
	c.statsHandler.Store(counter)
	began, spent := time.Now(), processorTime()
	timer := time.NewTimer(6 * time.Second) // two leases
	<-timer.C
	took, used := time.Since(began).Seconds(), (processorTime() - spent).Seconds()
	c.statsHandler.Store(nil)
	cancel()
	_ = group.Wait()
	each := float64(members) * took
	b.ReportMetric(float64(counter.bytes.Load())/each, "B/s/member")
	b.ReportMetric(used/took*1e3/float64(members), "ms-cpu/s/member")
	b.ReportMetric(0, "ns/op")
}

func processorTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// byteCounter counts the bytes of gRPC messages on the wire.
type byteCounter struct{ bytes atomic.Int64 }

func (h *byteCounter) handle(event stats.RPCStats) {
	switch event := event.(type) {
	case *stats.InPayload:
		h.bytes.Add(int64(event.WireLength))
	case *stats.OutPayload:
		h.bytes.Add(int64(event.WireLength))
	}
}

// statsSwitch forwards the events of the connections to a counter while one is set.
type statsSwitch struct{ atomic.Pointer[byteCounter] }

func (s *statsSwitch) HandleRPC(_ context.Context, event stats.RPCStats) {
	if counter := s.Load(); counter != nil {
		counter.handle(event)
	}
}
func (s *statsSwitch) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context   { return ctx }
func (s *statsSwitch) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }
func (s *statsSwitch) HandleConn(context.Context, stats.ConnStats)                       {}
