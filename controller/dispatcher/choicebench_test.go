package dispatcher

import (
	"fmt"
	"testing"
	"time"

	"oleandertally/core/specifier"
	"oleandertally/dispatch/estimator"
	"oleandertally/state/jobrecorder"
)

// BenchmarkChoice measures the time of one choice among workers in racks of 8, half of which have a label: with room everywhere, and
// with the rack of the data full.
func BenchmarkChoice(b *testing.B) {
	step := specifier.Step{Count: 1, Resources: specifier.Resources{MilliCores: 1400, Memory: 64}, Estimate: 100 * time.Millisecond}
	for _, workers := range []int{64, 940} {
		d := newBenchDispatcher(workers, nil)
		full := newBenchDispatcher(workers, func(agent int) bool { return agent/8 == 1 })
		for _, each := range []struct {
			name   string
			d      *Dispatcher
			change func(*specifier.Step)
		}{
			{"any", d, func(*specifier.Step) {}},
			{"rack", d, func(s *specifier.Step) { s.DataRack = "rack-1" }},
			{"fullrack", full, func(s *specifier.Step) { s.DataRack = "rack-1" }},
			{"label", d, func(s *specifier.Step) { s.Label = "gpu" }},
			{"labelrack", d, func(s *specifier.Step) { s.Label, s.DataRack = "gpu", "rack-1" }},
		} {
			b.Run(fmt.Sprintf("%s/%d", each.name, workers), func(b *testing.B) {
				s := step
				each.change(&s)
				j := newJob(specifier.QueuedJob{ID: "j", Transient: true, Steps: []specifier.Step{s}}, specifier.Queue{Pool: "p", Stretch: 1.6, Target: 60 * time.Millisecond}, each.d.now, 1)
				p := each.d.pool("p")
				b.ReportAllocs()
				for b.Loop() {
					each.d.decide(p, j.tasks[0][0])
				}
			})
		}
	}
}

// newBenchDispatcher returns a leader whose workers are uneven and partly used. The workers for which full returns true have no room.
func newBenchDispatcher(workers int, full func(agent int) bool) *Dispatcher {
	now := time.Unix(1000, 0)
	d := &Dispatcher{Recorder: jobrecorder.New(time.Minute), Settings: Defaults(), Leading: func(time.Time) bool { return true }, EnoughVoters: func() bool { return true }}
	paces := &fakeEstimates{paces: make(map[string]float64)}
	d.Settings.RemoteFactor, d.NewEstimates = 2, func() estimator.Policy[string, string] { return paces }
	d.Step(now, BecameLeader{Term: 1})
	for agent := range workers {
		paces.paces[agentName(agent)] = 0.6 + 0.15*float64(agent*7%13)
		labels := []string{fmt.Sprintf("rack-%d", agent/8)}
		if agent%2 == 0 {
			labels = append(labels, "gpu")
		}
		for range 2 {
			report := specifier.LeaseReport{Agent: agentName(agent), Incarnation: 1, Renewal: 1, AllRunsKnown: true, RunsComplete: true,
				Worker: &specifier.LeasedWorker{ID: agentName(agent), StartedAt: time.Unix(1, 0), Pool: "p", Labels: labels, Capacity: specifier.Resources{MilliCores: 16000, Memory: 1 << 15}}}
			if a := d.agents[agentName(agent)]; a != nil {
				report.Token = d.fence(a)
			}
			for _, action := range d.Step(now, ReportReceived{Stream: Stream(agent + 1), Report: report}) {
				if propose, ok := action.(Propose); ok {
					d.Step(now, Applied(propose))
				}
			}
		}
		a := d.agents[agentName(agent)]
		used := agent % 11 * 1400
		if full != nil && full(agent) {
			used = 16000
		}
		a.used.MilliCores, a.endSum, a.endBase = used, float64(used)*0.05, now.UnixNano()
		d.touch(a)
	}
	d.Step(now, AgentDisconnected{})
	return d
}
