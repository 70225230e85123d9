package dispatcher

import (
	"math"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"oleandertally/core/encoder"
	"oleandertally/core/specifier"
)

// mustEncode returns the bytes of a message.
func mustEncode(f *testing.F, message proto.Message) []byte {
	f.Helper()
	data, err := proto.Marshal(message)
	must.NoError(f, err)
	return data
}

// FuzzReports guards against a report of an agent that ends the leading controller, or that makes it start a task beyond a worker's
// capacity or a second time.
func FuzzReports(f *testing.F) {
	key := specifier.RunKey{Task: "a.0.0.0", Run: runTermFactor + 1}
	worker := &specifier.LeasedWorker{ID: "x", StartedAt: time.Unix(0, math.MaxInt64), Pool: "p", Capacity: specifier.Resources{MilliCores: -1, Memory: math.MaxInt32}}
	for _, report := range []specifier.LeaseReport{
		{Agent: agentName(1), Incarnation: 1, Ends: []specifier.RunEnd{{Number: math.MaxUint64, Key: key, Kind: specifier.EndDone}}},
		{Agent: agentName(1), Incarnation: 1, RunsComplete: true, Runs: []specifier.LeasedRun{{Key: specifier.RunKey{Task: "....", Run: math.MaxUint64}}, {}, {}}},
		{Agent: agentName(1), Incarnation: 2, Renewal: math.MaxUint64, LastOrder: math.MaxUint64, Token: math.MaxUint64, AllRunsKnown: true, RunsComplete: true, Worker: worker},
		{Agent: "", Worker: &specifier.LeasedWorker{}},
		{Agent: agentName(2), RefusedStarts: []specifier.RunEnd{{Key: key, Kind: 255}}},
	} {
		f.Add(uint64(1), mustEncode(f, encoder.EncodeLeaseReport(report)))
		f.Add(uint64(7), mustEncode(f, encoder.EncodeLeaseReport(report)))
	}
	f.Fuzz(func(t *testing.T, stream uint64, data []byte) {
		var message encoder.QueueReport
		if proto.Unmarshal(data, &message) != nil {
			t.Skip()
		}
		x := newFixture(t, 2)
		x.submit("a", 2, true)
		x.submit("bb", 1, false)
		for range 2 {
			x.step(ReportReceived{Stream: Stream(stream), Report: encoder.DecodeLeaseReport(&message)})
			x.submit("ccc", 3, true)
			x.advance(50 * time.Millisecond)
		}
		x.advance(2 * time.Second)
		for _, a := range x.d.agentsByName {
			must.True(t, len(a.runs) == 0 || a.worker == nil || a.unknownRuns > 0 || a.used.MilliCores <= max(a.worker.Capacity.MilliCores, 2000))
		}
	})
}

// FuzzCalls guards against a call of an entry that ends the leading controller.
func FuzzCalls(f *testing.F) {
	job := specifier.QueuedJob{ID: "a", Transient: true, Steps: []specifier.Step{{Count: 1, Estimate: time.Second, Resources: specifier.Resources{MilliCores: 1}, Label: "x", PerWorker: 1}}}
	for _, verb := range []specifier.QueueVerb{specifier.SubmitQueued, specifier.QueryQueued, specifier.CancelQueued, specifier.PutManifest, specifier.GetManifest, specifier.AbandonQueued,
		specifier.EvacuateZone, specifier.RestoreZone, 99} {
		f.Add(mustEncode(f, encoder.EncodeQueueCall(1, specifier.QueueCall{Verb: verb, Host: "h", Path: "/q/a", Zone: "a", Job: job, Age: math.MaxInt64,
			Manifest: &specifier.Manifest{Version: math.MaxUint64, Queues: []specifier.Queue{{Name: "q", Stretch: math.NaN(), Priority: -1, Target: math.MinInt64}}}})))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var message encoder.QueueCall
		if proto.Unmarshal(data, &message) != nil {
			t.Skip()
		}
		call, err := encoder.DecodeQueueCall(&message)
		if err != nil {
			return
		}
		x := newFixture(t, 1)
		x.submit("a", 1, true)
		for range 2 {
			x.step(CallReceived{Stream: caller, Sequence: message.Sequence, Call: call})
			x.submit("bb", 4, true)
		}
		x.advance(5 * time.Second)
	})
}
