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

// taskCount is the mean width of a job of the mix, rounded.
const taskCount = 8

// gap is the time between two jobs: the scheduler sends an agent two tasks in 5 ms at most.
const gap = 10 * time.Millisecond

// each runs a benchmark at several sizes.
func each(b *testing.B, sizes []int, run func(*testing.B, int)) {
	for _, size := range sizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) { run(b, size) })
	}
}

// heapOf returns the bytes of heap that what build returns takes.
func heapOf[T any](build func() T) float64 {
	heap := func() float64 {
		runtime.GC()
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		return float64(stats.HeapAlloc)
	}
	before := heap()
	held := build()
	after := heap()
	runtime.KeepAlive(held)
	return after - before
}

// BenchmarkEntryInFlight reports the heap of an entry for each job of 8 tasks that waits or runs, on 940
// workers. The payloads of 100 bytes are part of it.
func BenchmarkEntryInFlight(b *testing.B) {
	each(b, []int{1000, 5000, 20_000}, func(b *testing.B, jobs int) {
		var perJob float64
		for b.Loop() {
			stand := newEntryStand(940, 1<<20)
			perJob = heapOf(func() *entryStand {
				for range jobs {
					stand.submit(taskCount)
				}
				return stand
			}) / float64(jobs)
		}
		b.ReportMetric(perJob, "B/job")
	})
}

// BenchmarkEntryAnswered reports the heap of an entry for each answered job that it keeps for repeats.
func BenchmarkEntryAnswered(b *testing.B) {
	each(b, []int{1000, 5000, 20_000}, func(b *testing.B, jobs int) {
		var perJob float64
		for b.Loop() {
			stand := newEntryStand(940, 1<<20)
			perJob = heapOf(func() *entryStand {
				for range jobs {
					_, actions := stand.submit(taskCount)
					must.True(b, stand.finish(actions))
					stand.now = stand.now.Add(gap)
				}
				return stand
			}) / float64(jobs)
		}
		b.ReportMetric(perJob, "B/job")
	})
}

// BenchmarkEntryJob reports the control goroutine's time for a job of 8 tasks, from its submission to
// its record, on a number of workers.
func BenchmarkEntryJob(b *testing.B) {
	each(b, []int{11, 110, 940}, func(b *testing.B, workers int) {
		stand := newEntryStand(workers, 1<<20)
		for b.Loop() {
			_, actions := stand.submit(taskCount)
			must.True(b, stand.finish(actions))
			// Answered jobs leave after their retention, as they do when jobs come at 100 a second.
			stand.now = stand.now.Add(gap)
			stand.machine.Expire(stand.now)
		}
	})
}

// BenchmarkEntryMembers reports the control goroutine's time for one change of the membership.
func BenchmarkEntryMembers(b *testing.B) {
	each(b, []int{11, 110, 940}, func(b *testing.B, workers int) {
		stand, members := newEntryStand(workers, 1<<20), newMembers(workers)
		for version := uint64(2); b.Loop(); version++ {
			members[0].Incarnation = specifier.Incarnation(version)
			stand.machine.Step(stand.now, coordinator.MembersChanged{Version: version, Members: members})
		}
	})
}

// BenchmarkEntryView reports the heap of an entry for each worker that it knows.
func BenchmarkEntryView(b *testing.B) {
	each(b, []int{110, 940, 4000}, func(b *testing.B, workers int) {
		var perWorker float64
		for b.Loop() {
			perWorker = heapOf(func() *entryStand { return newEntryStand(workers, 1000) }) / float64(workers)
		}
		b.ReportMetric(perWorker, "B/worker")
	})
}
