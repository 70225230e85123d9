package simulator

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"oleandertally/core/specifier"
)

// schedule adds the callers and the faults at random times.
func (w *world) schedule() {
	if w.announcing {
		w.run(w.now.Add(warmUp))
		for _, caller := range w.schedulePlain() {
			if w.chance(0.3) {
				w.after(w.randomDuration(500*time.Millisecond, faultTime), caller.loseEntry)
			}
		}
		for range 3 {
			w.after(w.randomDuration(time.Second, faultTime), w.loseAround)
		}
		for range w.random.IntN(3) {
			w.after(w.randomDuration(time.Second, faultTime), func() { w.slowUntil = w.now.Add(w.randomDuration(0, time.Second)) })
		}
		return
	}
	w.schedulePlain()
}

// scheduleWithEvacuations adds operators that evacuate and restore the zones, and slow links, in two of three worlds.
func (w *world) scheduleWithEvacuations() {
	w.schedule()
	if w.seed%3 == 0 {
		return
	}
	for zone := range zoneCount {
		operator := &fakeOperator{world: w, zone: zoneName(zone), random: rand.New(rand.NewPCG(w.seed, uint64(100+zone)))}
		w.operators = append(w.operators, operator)
		w.after(operator.between(500*time.Millisecond, 3*time.Second), operator.evacuate)
		for _, agent := range w.agents {
			w.after(operator.between(0, faultTime), func() {
				agent.slowUntil = w.now.Add(operator.between(200*time.Millisecond, 2*time.Second))
			})
		}
	}
}

// loseAround deposes the leader around the time at which an agent becomes unreachable and half of the callers lose their entries: runs
// that the next leader does not know of may still go on when their callers come back.
func (w *world) loseAround() {
	w.agents[w.random.IntN(len(w.agents))].partition()
	for _, caller := range w.callers {
		if w.chance(0.5) {
			w.after(w.randomDuration(0, 400*time.Millisecond), caller.loseEntry)
		}
	}
	w.after(w.randomDuration(0, 600*time.Millisecond), w.depose)
}

// schedulePlain adds the callers and the faults that every world has, and returns the callers.
func (w *world) schedulePlain() []*fakeCaller {
	for i := range 25 {
		caller := &fakeCaller{world: w, id: fmt.Sprintf("%016x", i+1), transient: w.chance(0.6)}
		w.callers = append(w.callers, caller)
		w.after(w.randomDuration(500*time.Millisecond, faultTime), caller.start)
	}
	for range 2 + w.random.IntN(3) {
		w.after(w.randomDuration(time.Second, faultTime), w.depose)
	}
	for range w.random.IntN(4) {
		agent := w.agents[w.random.IntN(len(w.agents))]
		w.after(w.randomDuration(time.Second, faultTime), agent.restart)
	}
	for range w.random.IntN(4) {
		agent := w.agents[w.random.IntN(len(w.agents))]
		w.after(w.randomDuration(time.Second, faultTime), agent.partition)
	}
	for range w.random.IntN(4) {
		agent := w.agents[w.random.IntN(len(w.agents))]
		w.after(w.randomDuration(time.Second, faultTime), agent.worker.crash)
	}
	for _, agent := range w.agents {
		random := agent.worker.random
		for range random.IntN(4) {
			w.after(time.Duration(random.Int64N(int64(faultTime))), agent.announceForeign)
		}
	}
	return w.callers
}

// scheduleCancellations adds jobs that are cancelled while they run. Around each cancellation an agent is restarted or becomes unreachable,
// or the leader is deposed.
func (w *world) scheduleCancellations() {
	for i := range cancelledJobs {
		caller := &fakeCaller{world: w, id: fmt.Sprintf("c%015x", i+1), runTime: cancelledRunTime}
		canceller := &fakeCanceller{world: w, caller: caller}
		w.callers, w.cancellers = append(w.callers, caller), append(w.cancellers, canceller)
		w.after(w.randomDuration(0, faultTime/2), caller.start)
		at := w.randomDuration(faultTime/2, faultTime)
		w.after(at, canceller.cancel)
		agent := w.agents[w.random.IntN(len(w.agents))]
		fault := []func(){agent.restart, agent.partition, w.depose}[w.random.IntN(3)]
		w.after(at+w.randomDuration(-300*time.Millisecond, 300*time.Millisecond), fault)
	}
}

// scheduleRemovedQueue adds jobs that are cancelled while their queue, whose prefix continues that of the other queue, comes and goes.
func (w *world) scheduleRemovedQueue() {
	w.putManifest(testQueue("q", queuePrefix), testQueue("inner", innerPrefix))
	w.scheduleCancellations()
	for _, caller := range w.callers {
		caller.prefix = innerPrefix
	}
	w.after(faultTime/2, func() { w.toggleInnerQueue(false) })
}

// toggleInnerQueue removes the inner queue or brings it back, and the other way round later. It stays until every job is accepted.
func (w *world) toggleInnerQueue(defined bool) {
	if slices.ContainsFunc(w.callers, func(c *fakeCaller) bool { return !c.accepted }) {
		w.after(resendInterval, func() { w.toggleInnerQueue(false) })
		return
	}
	queues := []specifier.Queue{testQueue("q", queuePrefix)}
	if defined {
		queues = append(queues, testQueue("inner", innerPrefix))
	}
	w.putManifest(queues...)
	if w.faultsEnabled {
		w.after(w.randomDuration(100*time.Millisecond, 2*time.Second), func() { w.toggleInnerQueue(!defined) })
	}
}

// scheduleWideJobs adds recorded jobs of many tasks that take equally long, so that their ends need several pages. An agent is restarted
// or becomes unreachable, or the leader is deposed, around the ends of most of them.
func (w *world) scheduleWideJobs() {
	for i := range wideJobs {
		caller := &fakeCaller{world: w, id: fmt.Sprintf("d%015x", i+1), runTime: w.randomDuration(minRunTime, 600*time.Millisecond), width: wideJobTasks}
		w.callers = append(w.callers, caller)
		at := w.randomDuration(time.Second, faultTime-time.Second)
		w.after(at, caller.start)
		agent := w.agents[w.random.IntN(len(w.agents))]
		fault := []func(){agent.restart, agent.partition, w.depose, func() {}}[w.random.IntN(4)]
		w.after(at+caller.runTime+w.randomDuration(-100*time.Millisecond, 200*time.Millisecond), fault)
	}
}
