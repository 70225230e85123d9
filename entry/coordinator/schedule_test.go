package coordinator_test

import (
	"flag"
	"math/rand/v2"
	"testing"
	"time"

	"oleandertally/agent/executor"
)

var schedules = flag.Int("schedules", 2000, "random schedules to run")

// Guards against a task that starts twice, a false NotRun, a partial or second answer, and a caller
// without an answer, whatever is lost, delayed, broken, killed or recorded as down, at any step.
// A longer run: go test ./entry/coordinator -run TestPromisesHold -schedules 100000
func TestPromisesHoldUnderFaults(t *testing.T) {
	for seed := range uint64(*schedules) {
		if !runSchedule(t, seed) {
			t.Fatalf("seed %d", seed)
		}
	}
}

func runSchedule(t *testing.T, seed uint64) bool {
	ok := false
	defer func() {
		if !ok {
			t.Logf("seed %d", seed)
		}
	}()
	random := rand.New(rand.NewPCG(seed, 17))
	w := newWorld(t, 2+random.IntN(2), 2+random.IntN(2))
	jobs := 1 + random.IntN(4)
	tasks := 1 + random.IntN(4)
	for range 60 + random.IntN(200) {
		randomStep(w, random, jobs, tasks)
	}
	w.settle()
	w.mustHold()
	ok = true
	return true
}

// randomStep does one thing that can happen at any moment.
func randomStep(w *world, random *rand.Rand, jobs, tasks int) {
	e := w.entries[random.IntN(len(w.entries))]
	a := w.agents[random.IntN(len(w.agents))]
	l := w.link(e, a)
	switch dice := random.IntN(100); {
	case dice < 8:
		if e.alive {
			w.submit(e, newJob(random.IntN(jobs), tasks))
		}
	case dice < 10:
		if e.alive {
			w.cancel(e, newJob(random.IntN(jobs), 1).ID)
		}
	case dice < 30:
		w.decide(e, random.IntN(5) == 0)
	case dice < 60:
		if e.alive && a.alive {
			w.deliver(l)
		}
	case dice < 70:
		if a.alive && len(a.running) > 0 {
			w.endRun(a, random.IntN(len(a.running)), randomEnd(random))
		}
	case dice < 78:
		w.tick(time.Duration(random.IntN(1000)) * time.Millisecond)
	case dice < 84:
		w.renew()
		w.publish()
	default:
		randomFault(w, random, e, a)
	}
}

func randomEnd(random *rand.Rand) executor.RunEnded {
	switch random.IntN(8) {
	case 0:
		return executor.RunEnded{NotStarted: true, Detail: "connection refused"}
	case 1:
		return executor.RunEnded{Broken: true, Detail: "status 500"}
	}
	return executor.RunEnded{}
}

func randomFault(w *world, random *rand.Rand, e *entryNode, a *agentNode) {
	l := w.link(e, a)
	switch random.IntN(10) {
	case 0:
		if e.alive {
			w.kill(e)
		}
	case 1:
		if !e.alive {
			w.restart(e)
		}
	case 2:
		if a.alive {
			w.killAgent(a)
		}
	case 3:
		w.restartAgent(a)
	case 4:
		w.disconnect(l, random.IntN(4))
	case 5, 6:
		if e.alive && a.alive && !l.up {
			w.connect(l)
		}
	case 7:
		e.cut = !e.cut
	case 8:
		a.cut = !a.cut
	case 9:
		w.expireLeases(e, a)
	}
}

func (w *world) kill(e *entryNode) {
	for waiter := range w.asked {
		if len(w.replies[waiter]) == 0 && w.askedAt[waiter] == e.process {
			delete(w.asked, waiter) // its caller's connection is gone
		}
	}
	w.killEntry(e)
}

func (w *world) restart(e *entryNode) {
	for i := range w.entries {
		if w.entries[i] == e {
			w.startEntry(i)
		}
	}
}

func (w *world) restartAgent(a *agentNode) {
	for i := range w.agents {
		if w.agents[i] == a && !a.alive {
			w.startAgent(i)
		}
	}
}

// expireLeases records what does not renew as down: processes that are dead or cut off.
func (w *world) expireLeases(e *entryNode, a *agentNode) {
	if !e.alive || e.cut {
		w.end(e.id)
	}
	if (!a.alive || a.cut) && !w.now.Before(a.until) {
		w.end(a.id)
	}
}
