package registrar

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"runtime"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"oleandertally/core/specifier"
)

func heap() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// populate accepts and finishes count submissions of 20 entries.
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

// BenchmarkMemory reports the heap for each remembered submission.
func BenchmarkMemory(b *testing.B) {
	for _, count := range []int{1000, 10_000, 100_000, 3_000_000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			var r *Registrar
			before := heap()
			for b.Loop() {
				r = nil
				r = populate(b, count)
			}
			b.ReportMetric((heap()-before)/float64(count), "heap-B/submission")
			b.ReportMetric(b.Elapsed().Seconds()/float64(b.N)/float64(2*count)*1e9, "ns/command")
			must.Eq(b, count, r.Submissions())
		})
	}
}

// BenchmarkSnapshot reports the time on the control goroutine (image), off it (encode) and at a start (decode).
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
