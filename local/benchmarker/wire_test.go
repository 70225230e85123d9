package benchmarker

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"oleandertally/core/encoder"
	"oleandertally/core/specifier"
	"oleandertally/entry/connector"
	"oleandertally/entry/coordinator"
)

// frameOverhead is the number of bytes that gRPC adds to each message.
const frameOverhead = 5

// BenchmarkUpdateWhole reports the bytes of the whole membership, which an entry gets when it joins.
func BenchmarkUpdateWhole(b *testing.B) {
	runSizes(b, []int{11, 110, 940}, func(b *testing.B, workers int) {
		update := specifier.Update{Lease: 3 * time.Second, MemberVersion: 1, MembersComplete: true, Members: newMembers(workers)}
		var size int
		for b.Loop() {
			size = proto.Size(encoder.EncodeUpdate(update)) + frameOverhead
		}
		b.ReportMetric(float64(size), "B/update")
	})
}

// BenchmarkUpdateOne reports the bytes that each entry gets when a number of members change at the same time.
func BenchmarkUpdateOne(b *testing.B) {
	runSizes(b, []int{1, 3, 188}, func(b *testing.B, changed int) {
		update := specifier.Update{MemberVersion: 1 << 20, Members: newMembers(changed)}
		var size int
		for b.Loop() {
			size = proto.Size(encoder.EncodeUpdate(update)) + frameOverhead
		}
		b.ReportMetric(float64(size), "B/update")
	})
}

// BenchmarkRenewal reports the bytes of one renewal and of its answer.
func BenchmarkRenewal(b *testing.B) {
	runSizes(b, []int{1, 1000, 1_000_000}, func(b *testing.B, version int) {
		heartbeat := specifier.Heartbeat{Revision: specifier.Revision(version)}
		update := specifier.Update{Lease: 10 * time.Second, MemberVersion: uint64(version)}
		var sent, received int
		for b.Loop() {
			sent, received = proto.Size(encoder.EncodeHeartbeat(heartbeat))+frameOverhead, proto.Size(encoder.EncodeUpdate(update))+frameOverhead
		}
		b.ReportMetric(float64(sent), "B/renewal")
		b.ReportMetric(float64(received), "B/grant")
	})
}

// BenchmarkConfiguration reports the bytes of a configuration, which every member gets with each change.
func BenchmarkConfiguration(b *testing.B) {
	runSizes(b, []int{10, 100, 220}, func(b *testing.B, teams int) {
		update := specifier.Update{MemberVersion: 1, Configuration: &specifier.Configuration{Revision: 3800,
			Profiles: make(map[string]specifier.Profile), Teams: make(map[string]specifier.Team)}}
		for i := range teams {
			name := newJob(uint64(i), 1, startTime).Key[10:]
			update.Configuration.Teams[name] = specifier.Team{Name: name, Share: 1}
			update.Configuration.Profiles[name] = specifier.Profile{Name: name, Service: service, TypicalTime: time.Second, Priority: 3}
		}
		var size int
		for b.Loop() {
			size = proto.Size(encoder.EncodeUpdate(update)) + frameOverhead
		}
		b.ReportMetric(float64(size), "B/update")
	})
}

// BenchmarkAssign reports the bytes of the assignment of one task by the size of its payload.
func BenchmarkAssign(b *testing.B) {
	runSizes(b, []int{0, 100, 1000}, func(b *testing.B, size int) {
		job := newJob(1, 1, startTime)
		assign := coordinator.Assign{Key: specifier.TaskKey{Job: job.ID, Task: "t001"}, Epoch: 1, Payload: make([]byte, size),
			Order: startTime.Add(-200 * time.Millisecond), Deadline: startTime.Add(10 * time.Second), Profile: "mix"}
		var bytes int
		for b.Loop() {
			bytes = proto.Size(connector.EncodeAssign(assign, startTime)) + frameOverhead
		}
		b.ReportMetric(float64(bytes), "B/task")
	})
}
