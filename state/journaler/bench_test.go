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

// batchSize is about one encoded batch with a single AcceptJob.
const batchSize = 128

func openDisk(b *testing.B) *Journal {
	disk, err := OpenDisk(b.TempDir())
	must.NoError(b, err)
	b.Cleanup(func() { must.NoError(b, disk.Close()) })
	journal := &Journal{Folder: disk, DiskID: 1, Log: zerolog.Nop()}
	_, err = journal.Open()
	must.NoError(b, err)
	return journal
}

// report adds the percentiles of the durations, in microseconds.
func report(b *testing.B, name string, durations []time.Duration) {
	slices.Sort(durations)
	at := func(share float64) float64 {
		return float64(durations[int(share*float64(len(durations)-1))].Microseconds())
	}
	b.ReportMetric(at(0.5), name+"-p50-µs")
	b.ReportMetric(at(0.99), name+"-p99-µs")
}

// BenchmarkSync alternates a bare write and sync of one file with an acceptance through an idle
// Syncer, so that both meet the same disk.
func BenchmarkSync(b *testing.B) {
	journal := openDisk(b)
	bare, err := os.OpenFile(b.TempDir()+"/bare", os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	must.NoError(b, err)
	defer bare.Close()
	done := make(chan uint64, 1)
	syncer := &Syncer{Journal: journal, Queue: looper.NewOutbox[Request](), Report: func(write uint64) { done <- write }}
	var group errgroup.Group
	group.Go(func() error { return syncer.Run(b.Context()) })
	data := make([]byte, batchSize)
	var syncs, accepts []time.Duration
	for i := uint64(1); b.Loop(); i++ {
		start := time.Now()
		_, err := bare.Write(data)
		must.NoError(b, err)
		must.NoError(b, bare.Sync())
		middle := time.Now()
		syncer.Queue.Put(Request{i, Append{[]Record{{Index: i, Term: 1, Data: data}}}})
		<-done
		syncs, accepts = append(syncs, middle.Sub(start)), append(accepts, time.Since(middle))
	}
	report(b, "sync", syncs)
	report(b, "accept", accepts)
}

// BenchmarkSyncer keeps a number of appends in flight. Group commit lets all that wait share a
// sync; its counterpart syncs each one.
func BenchmarkSyncer(b *testing.B) {
	for _, flight := range []int{1, 8, 64, 512} {
		b.Run(fmt.Sprintf("group/%d", flight), func(b *testing.B) {
			journal := openDisk(b)
			done := make(chan uint64, flight)
			syncer := &Syncer{Journal: journal, Queue: looper.NewOutbox[Request](), Report: func(write uint64) { done <- write }}
			var group errgroup.Group
			group.Go(func() error { return syncer.Run(b.Context()) })
			data := make([]byte, batchSize)
			var put, synced uint64
			for b.Loop() {
				for put-synced >= uint64(flight) {
					synced = <-done
				}
				put++
				syncer.Queue.Put(Request{put, Append{[]Record{{Index: put, Term: 1, Data: data}}}})
			}
			for synced < put {
				synced = <-done
			}
			b.ReportMetric(float64(put)/b.Elapsed().Seconds(), "appends/s")
		})
	}
	b.Run("each", func(b *testing.B) {
		journal := openDisk(b)
		data := make([]byte, batchSize)
		var index uint64
		for b.Loop() {
			index++
			must.NoError(b, journal.Commit(Append{[]Record{{Index: index, Term: 1, Data: data}}}))
		}
		b.ReportMetric(float64(index)/b.Elapsed().Seconds(), "appends/s")
	})
}

// BenchmarkRecovery opens a log of many records, one in each frame, from files in the page cache.
func BenchmarkRecovery(b *testing.B) {
	for _, count := range []int{1000, 10_000, 100_000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			disk := fill(b, count)
			var content Content
			before := heap()
			for b.Loop() {
				content = Content{}
				_, content = open(b, disk, 0)
			}
			b.ReportMetric((float64(heap())-float64(before))/float64(count), "heap-B/record")
			must.Eq(b, count, len(content.Records))
		})
	}
}

// fill writes the log in memory first, because one sync for each frame would take minutes.
func fill(b *testing.B, count int) *Disk {
	folder := newFakeFolder()
	journal, _ := open(b, folder, 0)
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

func heap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
