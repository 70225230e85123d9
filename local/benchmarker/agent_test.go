package benchmarker

import (
	"net/netip"
	"testing"
	"time"

	"oleandertally/agent/executor"
	"oleandertally/core/specifier"
)

// agentStand is an executor whose upstream ends every task at once.
type agentStand struct {
	machine *executor.Executor
	entry   specifier.Identity
	now     time.Time
	last    uint64
}

func newAgentStand() *agentStand {
	a := &agentStand{machine: executor.New(4096, 1<<40), entry: specifier.Identity{Name: "entry-1", Incarnation: 1}, now: nine}
	a.machine.Step(a.now, executor.Leased{Until: a.now.Add(1000 * time.Hour)})
	a.machine.Step(a.now, executor.UpstreamUp{Addr: netip.MustParseAddrPort("127.0.0.1:9000"), Slots: slots, Until: a.now.Add(1000 * time.Hour)})
	a.machine.Step(a.now, executor.Connected{Entry: a.entry, Stream: 1})
	return a
}

// task runs one task of a job of its own, since few tasks of a job come to one worker of 940.
func (a *agentStand) task() {
	a.last++
	job := newJob(a.last, 1, a.now.Add(10*time.Second))
	key := specifier.TaskKey{Job: job.ID, Task: job.Tasks[0].ID}
	a.machine.Step(a.now, executor.Assigned{Entry: a.entry, Stream: 1, Key: key, Epoch: 1, Payload: job.Tasks[0].Payload, Order: a.now,
		Deadline: job.Deadline, Profile: "mix"})
	a.machine.Step(a.now, executor.RunEnded{Key: key, Body: make([]byte, payload)})
}

// BenchmarkAgentRecord reports the heap of an agent for each start-once record, with a result of 100 bytes.
func BenchmarkAgentRecord(b *testing.B) {
	each(b, []int{1000, 10_000, 50_000}, func(b *testing.B, records int) {
		var perRecord float64
		for b.Loop() {
			stand := newAgentStand()
			perRecord = heapOf(func() *agentStand {
				for range records {
					stand.task()
				}
				return stand
			}) / float64(records)
		}
		b.ReportMetric(perRecord, "B/record")
	})
}

// BenchmarkAgentTask reports the control goroutine's time for a task with a number of records held.
func BenchmarkAgentTask(b *testing.B) {
	each(b, []int{1000, 10_000, 50_000}, func(b *testing.B, records int) {
		stand := newAgentStand()
		gap := (10*time.Second + specifier.KeyRetention) / time.Duration(records)
		for b.Loop() {
			stand.task()
			stand.now = stand.now.Add(gap)
			stand.machine.Expire(stand.now)
		}
	})
}
