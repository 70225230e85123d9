package benchmarker

import (
	"net/netip"
	"testing"
	"time"

	"oleandertally/agent/executor"
	"oleandertally/core/specifier"
)

// agentFixture is an executor whose upstream completes every task immediately.
type agentFixture struct {
	machine  *executor.Executor
	entry    specifier.Identity
	now      time.Time
	jobCount uint64
}

func newAgentFixture() *agentFixture {
	a := &agentFixture{machine: executor.New(4096, 1<<40), entry: specifier.Identity{Name: "entry-1", Incarnation: 1}, now: startTime}
	a.machine.Step(a.now, executor.Leased{Until: a.now.Add(1000 * time.Hour)})
	a.machine.Step(a.now, executor.UpstreamUp{Addr: netip.MustParseAddrPort("127.0.0.1:9000"), Slots: slots, Until: a.now.Add(1000 * time.Hour)})
	a.machine.Step(a.now, executor.Connected{Entry: a.entry, Stream: 1})
	return a
}

// runTask runs the only task of a new job. On a site of 940 workers, one worker rarely gets several tasks of a job.
func (a *agentFixture) runTask() {
	a.jobCount++
	job := newJob(a.jobCount, 1, a.now.Add(10*time.Second))
	key := specifier.TaskKey{Job: job.ID, Task: job.Tasks[0].ID}
	a.machine.Step(a.now, executor.Assigned{Entry: a.entry, Stream: 1, Key: key, Epoch: 1, Payload: job.Tasks[0].Payload, Order: a.now,
		Deadline: job.Deadline, Profile: "mix"})
	a.machine.Step(a.now, executor.RunEnded{Key: key, Body: make([]byte, payloadSize)})
}

// BenchmarkAgentRecord reports the heap of an agent for each start-once record, with a result of 100 bytes.
func BenchmarkAgentRecord(b *testing.B) {
	runSizes(b, []int{1000, 10_000, 50_000}, func(b *testing.B, records int) {
		var perRecord float64
		for b.Loop() {
			fixture := newAgentFixture()
			perRecord = heapOf(func() *agentFixture {
				for range records {
					fixture.runTask()
				}
				return fixture
			}) / float64(records)
		}
		b.ReportMetric(perRecord, "B/record")
	})
}

// BenchmarkAgentTask reports the control goroutine's time for a task, by the number of records that the agent keeps.
func BenchmarkAgentTask(b *testing.B) {
	runSizes(b, []int{1000, 10_000, 50_000}, func(b *testing.B, records int) {
		fixture := newAgentFixture()
		gap := (10*time.Second + specifier.KeyRetention) / time.Duration(records)
		for b.Loop() {
			fixture.runTask()
			fixture.now = fixture.now.Add(gap)
			fixture.machine.Expire(fixture.now)
		}
	})
}
