package dispatcher

import (
	"fmt"
	"testing"
	"time"

	"oleandertally/core/specifier"
	"oleandertally/state/jobrecorder"
)

// BenchmarkEnds measures the control goroutine's time for the end of a task and the start of the next one, with 64 and 940 workers
// that are all full while jobs wait.
func BenchmarkEnds(b *testing.B) {
	for _, workers := range []int{64, 940} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			now := time.Unix(1000, 0)
			d := &Dispatcher{Recorder: jobrecorder.New(time.Minute), Settings: Defaults(), Leading: func(time.Time) bool { return true }, EnoughVoters: func() bool { return true }}
			step := func(event Event) []Action { return d.Step(now, event) }
			step(BecameLeader{Term: 1})
			step(Applied{specifier.QueueCommand{Manifest: &specifier.Manifest{Version: 1, Queues: []specifier.Queue{testQueue("q", "/q/")}}}})
			var running []runAt
			take := func(actions []Action) {
				for _, action := range actions {
					switch action := action.(type) {
					case Propose:
						step(Applied(action))
					case Order:
						for _, start := range action.Order.Starts {
							running = append(running, runAt{action.Stream, start.Key})
						}
					}
				}
			}
			for agent := 1; agent <= workers; agent++ {
				for range 2 {
					report := specifier.LeaseReport{Agent: agentName(agent), Incarnation: 1, Renewal: 1, AllRunsKnown: true, RunsComplete: true,
						Worker: &specifier.LeasedWorker{ID: agentName(agent), StartedAt: time.Unix(1, 0), Pool: "p", Capacity: specifier.Resources{MilliCores: 16000, Memory: 1 << 15}}}
					if a := d.agents[agentName(agent)]; a != nil {
						report.Token = d.fence(a)
					}
					take(step(ReportReceived{Stream: Stream(agent), Report: report}))
				}
			}
			jobs, numbers := 0, make(map[Stream]uint64)
			fill := func() {
				for d.waitingTasks < 200 {
					jobs++
					take(step(CallReceived{Stream: caller, Sequence: uint64(jobs), Call: specifier.QueueCall{Verb: specifier.SubmitQueued, Host: "h", Path: fmt.Sprintf("/q/%d", jobs), Zone: fmt.Sprint("zone-", jobs%4),
						Job: specifier.QueuedJob{Transient: true, Steps: []specifier.Step{{Count: 4, Resources: specifier.Resources{MilliCores: 1400 + jobs%400, Memory: 64}, Estimate: 100 * time.Millisecond}}}}}))
				}
			}
			fill()
			for i := 0; b.Loop(); i++ {
				fill()
				at := running[0]
				running = running[1:]
				numbers[at.stream]++
				now = now.Add(300 * time.Microsecond)
				renewal := uint64(0)
				if i%4 == 0 {
					renewal = uint64(i)
				}
				take(step(ReportReceived{Stream: at.stream, Report: specifier.LeaseReport{Agent: agentName(int(at.stream)), Incarnation: 1, Renewal: renewal,
					Ends: []specifier.RunEnd{{Number: numbers[at.stream], Key: at.key, Kind: specifier.EndDone}}}}))
				if i%workers == 0 {
					for agent := 1; agent <= workers; agent++ {
						d.agents[agentName(agent)].renewedAt = now
					}
				}
			}
		})
	}
}

// runAt is a run and the stream of its agent.
type runAt struct {
	stream Stream
	key    specifier.RunKey
}
