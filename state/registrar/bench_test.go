package registrar

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"runtime"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"oleandertally/core/encoder"
	"oleandertally/core/specifier"
	"oleandertally/state/journaler"
)

func heapBytes() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// populate returns a registrar in which 20 entries accepted and finished count jobs.
func populate(t must.T, count int) *Registrar {
	r := New(count)
	owners := make([]specifier.Identity, 20)
	var joins Batch
	for i := range owners {
		owners[i] = identity(fmt.Sprint("entry-", i), 1)
		joins.Commands = append(joins.Commands, specifier.JoinMember{Member: member(specifier.Entry, owners[i])})
	}
	r.Apply(1, joins)
	for i := range count {
		var key [8]byte
		binary.LittleEndian.PutUint64(key[:], uint64(i))
		job := specifier.NewJobID("team", string(key[:]))
		owner := owners[i%len(owners)]
		decisions := r.Apply(uint64(i)+2, Batch{Advance: time.Millisecond / 10, Commands: []specifier.Command{
			specifier.AcceptJob{Job: job, Digest: specifier.Digest(append(job[:], job[:]...)), Owner: owner, TaskCount: 1, TimeLeft: time.Minute},
			specifier.FinishJob{Job: job, Owner: owner, Epoch: 1, Answer: specifier.Answer{Outcome: specifier.Complete}},
		}})
		must.Eq(t, specifier.Finished, decisions[1].Verdict)
	}
	return r
}

// BenchmarkMemory reports the heap size for each stored submission.
func BenchmarkMemory(b *testing.B) {
	for _, count := range []int{1000, 10_000, 100_000, 3_000_000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			var r *Registrar
			before := heapBytes()
			for b.Loop() {
				r = nil
				r = populate(b, count)
			}
			b.ReportMetric((heapBytes()-before)/float64(count), "heap-B/submission")
			b.ReportMetric(b.Elapsed().Seconds()/float64(b.N)/float64(2*count)*1e9, "ns/command")
			must.Eq(b, count, r.SubmissionCount())
		})
	}
}

// BenchmarkSnapshot measures the work on the control goroutine (image), on another goroutine
// (encode) and at startup (decode).
func BenchmarkSnapshot(b *testing.B) {
	for _, count := range []int{1000, 10_000, 100_000, 3_000_000} {
		r := populate(b, count)
		var buffer bytes.Buffer
		must.NoError(b, r.Image().Encode(&buffer))
		b.Run(fmt.Sprint("image/", count), func(b *testing.B) {
			for b.Loop() {
				r.Image()
			}
		})
		b.Run(fmt.Sprint("encode/", count), func(b *testing.B) {
			image := r.Image()
			for b.Loop() {
				must.NoError(b, image.Encode(io.Discard))
			}
			b.ReportMetric(float64(buffer.Len())/float64(count), "file-B/submission")
		})
		b.Run(fmt.Sprint("decode/", count), func(b *testing.B) {
			for b.Loop() {
				_, err := Decode(bytes.NewReader(buffer.Bytes()), count)
				must.NoError(b, err)
			}
		})
	}
}

// BenchmarkRecovery opens a journal from files in the page cache, and decodes and applies its batches.
// A batch has one command, and a frame has 100 batches.
func BenchmarkRecovery(b *testing.B) {
	for name, command := range map[string]func(i uint64) specifier.Command{
		"acceptances": func(i uint64) specifier.Command {
			command := accept(1, firstEntry)
			command.Job = specifier.NewJobID("team", fmt.Sprint(i))
			return command
		},
		"configurations": func(i uint64) specifier.Command {
			return change(fmt.Sprint(i), "ana", specifier.Revision(i), fmt.Sprint("profile-", i%100))
		},
	} {
		for _, count := range []int{1000, 10_000, 100_000} {
			b.Run(fmt.Sprint(name, "/", count), func(b *testing.B) {
				disk, err := journaler.OpenDisk(b.TempDir())
				must.NoError(b, err)
				defer disk.Close()
				writeJournal(b, disk, count, command)
				var r *Registrar
				before := heapBytes()
				for b.Loop() {
					r = recoverFromJournal(b, disk)
				}
				b.ReportMetric((heapBytes()-before)/float64(count), "heap-B/change")
				must.Eq(b, uint64(count), r.Index())
			})
		}
	}
}

func writeJournal(b *testing.B, disk *journaler.Disk, count int, command func(i uint64) specifier.Command) {
	journal := &journaler.Journal{Folder: disk, DiskID: 1, Log: zerolog.Nop()}
	_, err := journal.Open()
	must.NoError(b, err)
	var records []journaler.Record
	for i := range uint64(count) {
		batch := Batch{Advance: time.Millisecond / 10, Commands: []specifier.Command{command(i)}}
		if i == 0 {
			batch.Commands = append([]specifier.Command{specifier.JoinMember{Member: member(specifier.Entry, firstEntry)}}, batch.Commands...)
		}
		raw, err := proto.Marshal(encoder.EncodeBatch(batch))
		must.NoError(b, err)
		records = append(records, journaler.Record{Index: i + 1, Term: 1, Data: raw})
		if len(records) == 100 {
			must.NoError(b, journal.Commit(journaler.Append{Records: records}))
			records = nil
		}
	}
	must.NoError(b, journal.Close())
}

func recoverFromJournal(b *testing.B, disk *journaler.Disk) *Registrar {
	journal := &journaler.Journal{Folder: disk, DiskID: 1, Log: zerolog.Nop()}
	content, err := journal.Open()
	must.NoError(b, err)
	r := New(len(content.Records))
	for _, record := range content.Records {
		var m encoder.LogBatch
		must.NoError(b, proto.Unmarshal(record.Data, &m))
		batch, err := encoder.DecodeBatch(&m)
		must.NoError(b, err)
		for _, decision := range r.Apply(record.Index, batch) {
			must.True(b, decision.Verdict == specifier.Accepted || decision.Verdict == specifier.Applied)
		}
	}
	return r
}
