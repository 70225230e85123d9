package encoder

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"oleandertally/core/specifier"
)

var queuedJob = specifier.QueuedJob{ID: "a", Queue: "q", Content: "c", Transient: true, Steps: []specifier.Step{
	{Count: 2, Resources: specifier.Resources{MilliCores: 1, Memory: 2, Accelerators: 3}, Estimate: time.Second, Checkpoints: true, Label: "l", DataRack: "r",
		PerWorker: 4, Speculative: true}, {Count: 1, After: []int{0}}}}

// Guards against a field that is lost between two processes.
func TestQueueMessages(t *testing.T) {
	t.Run("command", func(t *testing.T) {
		for _, command := range []specifier.QueueCommand{
			{Accept: &queuedJob, Advance: time.Second}, {Cancel: "a"}, {Enroll: "x"}, {Dismiss: "x"}, {Evacuate: "z"}, {Restore: "z"},
			{Ends: []specifier.TaskEnd{{Job: "a", Step: 1, Index: 2, Run: 3, Kind: specifier.EndFailed}}},
			{Manifest: &specifier.Manifest{Version: 3, NonEnforcingPools: []string{"p"}, Document: []byte("{}"), Queues: []specifier.Queue{
				{Name: "q", Host: "h", Prefix: "/p/", Pool: "p", Priority: 1, MaxAttempts: 2, Stretch: 1.5, Target: time.Second}}}},
		} {
			decoded, err := DecodeQueueCommand(EncodeQueueCommand(command))
			must.NoError(t, err)
			must.Eq(t, command, decoded)
		}
	})
	t.Run("call", func(t *testing.T) {
		call := specifier.QueueCall{Verb: specifier.SubmitQueued, Host: "h", Path: "/p/a", Job: queuedJob, TimeLeft: time.Second, Age: time.Minute, Zone: "z"}
		decoded, err := DecodeQueueCall(EncodeQueueCall(1, call))
		must.NoError(t, err)
		must.Eq(t, call, decoded)
	})
	t.Run("reply", func(t *testing.T) {
		reply := specifier.QueueReply{Result: specifier.QueueOK, State: specifier.JobFailed, Pending: 3, HasPending: true, RetryAfter: time.Second,
			Document: []byte("{}"), Detail: "d"}
		must.Eq(t, reply, DecodeQueueReply(EncodeQueueReply(1, reply)))
	})
	t.Run("report", func(t *testing.T) {
		key := specifier.RunKey{Task: "t", Run: 2}
		report := specifier.LeaseReport{Agent: "a", Incarnation: 1, Renewal: 2, LastOrder: 3, AllRunsKnown: true, Token: 4, Leaving: true, RunsComplete: true, EndsCut: true, WorkerStartedAt: time.Unix(5, 0),
			Worker: &specifier.LeasedWorker{ID: "w", StartedAt: time.Unix(5, 0), Pool: "p", Capacity: specifier.Resources{MilliCores: 1}, Labels: []string{"l"}, Draining: true, ColdFor: time.Second},
			Zone:   "z", EvacuationVersion: 6,
			Runs: []specifier.LeasedRun{{Key: key, Checkpoint: "s", Resources: specifier.Resources{Memory: 1}, Starting: true, Stopping: true}},
			Ends: []specifier.RunEnd{{Number: 1, Key: key, Kind: specifier.EndFailed, Checkpoint: "s"}}, RefusedStarts: []specifier.RunEnd{{Key: key, Kind: specifier.EndRefusedLate}}}
		must.Eq(t, report, DecodeLeaseReport(EncodeLeaseReport(report)))
	})
	t.Run("order", func(t *testing.T) {
		key := specifier.RunKey{Task: "t", Run: 2}
		order := specifier.LeaseOrder{Token: 1, GrantedRenewal: 2, OrderCount: 3, AcknowledgedEnd: 4, AcknowledgedWorkerStart: time.Unix(5, 0), Stops: []specifier.RunKey{key},
			Evacuated: true, EvacuationVersion: 7,
			Starts: []specifier.RunStart{{Key: key, Content: "c", Checkpoint: "s", Resources: specifier.Resources{Accelerators: 1}}}}
		must.Eq(t, order, DecodeLeaseOrder(EncodeLeaseOrder(order)))
	})
}

// Guards against an invalid job from a faulty peer, which would crash every replica that applies it.
func TestQueuedJobsAreChecked(t *testing.T) {
	for name, change := range map[string]func(*QueuedJob){
		"no ID":                    func(m *QueuedJob) { m.ID = "" },
		"no steps":                 func(m *QueuedJob) { m.Steps = nil },
		"too many tasks":           func(m *QueuedJob) { m.Steps[0].Count = specifier.MaxQueuedTasks },
		"a step waits for itself":  func(m *QueuedJob) { m.Steps[1].After = []uint32{1} },
		"an estimate below 0":      func(m *QueuedJob) { m.Steps[0].Estimate = -1 },
		"content beyond the bound": func(m *QueuedJob) { m.Content = string(make([]byte, specifier.MaxQueuedContent+1)) },
	} {
		t.Run(name, func(t *testing.T) {
			m := EncodeQueuedJob(&queuedJob)
			change(m)
			_, err := DecodeQueuedJob(m)
			must.Error(t, err)
		})
	}
}
