package benchmarker

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"oleandertally/core/specifier"
	"oleandertally/entry/coordinator"
)

// taskCount is the rounded mean number of tasks of a job of the mix.
const taskCount = 8

// jobInterval is the time between two jobs. It is this long because the scheduler sends an agent at most two tasks in 5 ms.
const jobInterval = 10 * time.Millisecond

// runSizes runs a benchmark at several sizes.
func runSizes(b *testing.B, sizes []int, run func(*testing.B, int)) {
	for _, size := range sizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) { run(b, size) })
	}
}

// heapOf returns the heap size, in bytes, of the value that build returns.
func heapOf[T any](build func() T) float64 {
	heap := func() float64 {
		runtime.GC()
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		return float64(stats.HeapAlloc)
	}
	before := heap()
	value := build()
	after := heap()
	runtime.KeepAlive(value)
	return after - before
}

// BenchmarkEntryInFlight reports the heap of an entry for each queued or running job of 8 tasks, on 940 workers. It
// includes the payloads of 100 bytes.
func BenchmarkEntryInFlight(b *testing.B) {
	runSizes(b, []int{1000, 5000, 20_000}, func(b *testing.B, jobs int) {
		var perJob float64
		for b.Loop() {
			fixture := newEntryFixture(940, 1<<20)
			perJob = heapOf(func() *entryFixture {
				for range jobs {
					fixture.submit(taskCount)
				}
				return fixture
			}) / float64(jobs)
		}
		b.ReportMetric(perJob, "B/job")
	})
}

// BenchmarkEntryAnswered reports the heap of an entry for each answered job that it keeps for repeated requests.
func BenchmarkEntryAnswered(b *testing.B) {
	runSizes(b, []int{1000, 5000, 20_000}, func(b *testing.B, jobs int) {
		var perJob float64
		for b.Loop() {
			fixture := newEntryFixture(940, 1<<20)
			perJob = heapOf(func() *entryFixture {
				for range jobs {
					_, actions := fixture.submit(taskCount)
					must.True(b, fixture.finish(actions))
					fixture.now = fixture.now.Add(jobInterval)
				}
				return fixture
			}) / float64(jobs)
		}
		b.ReportMetric(perJob, "B/job")
	})
}

// BenchmarkEntryJob reports the control goroutine's time for a job of 8 tasks, from its submission until its end is
// recorded, by the number of workers.
func BenchmarkEntryJob(b *testing.B) {
	runSizes(b, []int{11, 110, 940}, func(b *testing.B, workers int) {
		fixture := newEntryFixture(workers, 1<<20)
		for b.Loop() {
			_, actions := fixture.submit(taskCount)
			must.True(b, fixture.finish(actions))
			// Answered jobs expire after their retention, as they would at 100 jobs a second.
			fixture.now = fixture.now.Add(jobInterval)
			fixture.machine.Expire(fixture.now)
		}
	})
}

// BenchmarkEntryMembers reports the control goroutine's time for one change of the membership.
func BenchmarkEntryMembers(b *testing.B) {
	runSizes(b, []int{11, 110, 940}, func(b *testing.B, workers int) {
		fixture, members := newEntryFixture(workers, 1<<20), newMembers(workers)
		for version := uint64(2); b.Loop(); version++ {
			members[0].Incarnation = specifier.Incarnation(version)
			fixture.machine.Step(fixture.now, coordinator.MembersChanged{Version: version, Members: members})
		}
	})
}

// BenchmarkEntryView reports the heap of an entry for each worker that it knows.
func BenchmarkEntryView(b *testing.B) {
	runSizes(b, []int{110, 940, 4000}, func(b *testing.B, workers int) {
		var perWorker float64
		for b.Loop() {
			perWorker = heapOf(func() *entryFixture { return newEntryFixture(workers, 1000) }) / float64(workers)
		}
		b.ReportMetric(perWorker, "B/worker")
	})
}
