package journaler

import (
	"fmt"
	"os"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"
	"golang.org/x/sync/errgroup"

	"oleandertally/core/looper"
)

// batchSize is the approximate size of an encoded batch with one AcceptJob, in bytes.
const batchSize = 128

func openTestJournal(b *testing.B) *Journal {
	disk, err := OpenDisk(b.TempDir())
	must.NoError(b, err)
	b.Cleanup(func() { must.NoError(b, disk.Close()) })
	journal := &Journal{Folder: disk, DiskID: 1, Log: zerolog.Nop()}
	_, err = journal.Open()
	must.NoError(b, err)
	return journal
}

// reportPercentiles reports the median and the 99th percentile of the durations, in microseconds.
func reportPercentiles(b *testing.B, name string, durations []time.Duration) {
	slices.Sort(durations)
	at := func(share float64) float64 {
		return float64(durations[int(share*float64(len(durations)-1))].Microseconds())
	}
	b.ReportMetric(at(0.5), name+"-p50-µs")
	b.ReportMetric(at(0.99), name+"-p99-µs")
}

// BenchmarkSync compares a plain write and sync with an append through an idle Syncer. The two
// alternate, so that both are measured under the same disk load.
func BenchmarkSync(b *testing.B) {
	journal := openTestJournal(b)
	plainFile, err := os.OpenFile(b.TempDir()+"/bare", os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	must.NoError(b, err)
	defer plainFile.Close()
	done := make(chan uint64, 1)
	syncer := &Syncer{Journal: journal, Queue: looper.NewOutbox[Request](), Report: func(write uint64) { done <- write }}
	var group errgroup.Group
	group.Go(func() error { return syncer.Run(b.Context()) })
	data := make([]byte, batchSize)
	var syncs, accepts []time.Duration
	for i := uint64(1); b.Loop(); i++ {
		start := time.Now()
		_, err := plainFile.Write(data)
		must.NoError(b, err)
		must.NoError(b, plainFile.Sync())
		syncedAt := time.Now()
		syncer.Queue.Put(Request{i, Append{[]Record{{Index: i, Term: 1, Data: data}}}})
		<-done
		syncs, accepts = append(syncs, syncedAt.Sub(start)), append(accepts, time.Since(syncedAt))
	}
	reportPercentiles(b, "sync", syncs)
	reportPercentiles(b, "accept", accepts)
}

// BenchmarkSyncer compares group commit, where pending appends share a sync, with one sync for
// each append.
func BenchmarkSyncer(b *testing.B) {
	for _, inFlight := range []int{1, 8, 64, 512} {
		b.Run(fmt.Sprintf("group/%d", inFlight), func(b *testing.B) {
			journal := openTestJournal(b)
			done := make(chan uint64, inFlight)
			syncer := &Syncer{Journal: journal, Queue: looper.NewOutbox[Request](), Report: func(write uint64) { done <- write }}
			var group errgroup.Group
			group.Go(func() error { return syncer.Run(b.Context()) })
			data := make([]byte, batchSize)
			var submitted, synced uint64
			for b.Loop() {
				for submitted-synced >= uint64(inFlight) {
					synced = <-done
				}
				submitted++
				syncer.Queue.Put(Request{submitted, Append{[]Record{{Index: submitted, Term: 1, Data: data}}}})
			}
			for synced < submitted {
				synced = <-done
			}
			b.ReportMetric(float64(submitted)/b.Elapsed().Seconds(), "appends/s")
		})
	}
	b.Run("each", func(b *testing.B) {
		journal := openTestJournal(b)
		data := make([]byte, batchSize)
		var index uint64
		for b.Loop() {
			index++
			must.NoError(b, journal.Commit(Append{[]Record{{Index: index, Term: 1, Data: data}}}))
		}
		b.ReportMetric(float64(index)/b.Elapsed().Seconds(), "appends/s")
	})
}

// BenchmarkRecovery opens a log with one record in each frame, from files in the page cache.
func BenchmarkRecovery(b *testing.B) {
	for _, count := range []int{1000, 10_000, 100_000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			disk := writeJournal(b, count)
			var content Content
			before := heapBytes()
			for b.Loop() {
				content = Content{}
				_, content = openJournal(b, disk, 0)
			}
			b.ReportMetric((float64(heapBytes())-float64(before))/float64(count), "heap-B/record")
			must.Eq(b, count, len(content.Records))
		})
	}
}

// writeJournal writes the log in memory and copies it to disk, because one sync for each frame
// would take minutes.
func writeJournal(b *testing.B, count int) *Disk {
	folder := newFakeFolder()
	journal, _ := openJournal(b, folder, 0)
	for i := range uint64(count) {
		must.NoError(b, journal.Commit(Append{[]Record{{Index: i + 1, Term: 1, Data: make([]byte, batchSize)}}}))
	}
	must.NoError(b, journal.Close())
	path := b.TempDir()
	for name, file := range folder.files {
		must.NoError(b, os.WriteFile(path+"/"+name, file.data, 0o600))
	}
	disk, err := OpenDisk(path)
	must.NoError(b, err)
	b.Cleanup(func() { must.NoError(b, disk.Close()) })
	return disk
}

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
