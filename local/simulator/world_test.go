package simulator

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"oleandertally/controller/dispatcher"
	"oleandertally/core/container"
	"oleandertally/core/specifier"
	"oleandertally/state/jobrecorder"
)

const (
	controllers  = 3
	agents       = 4
	settleTime   = 12 * time.Second // without faults, at the end
	faultTime    = 8 * time.Second
	workerCores  = 4000
	callerWait   = 3 * time.Second
	resendAfter  = 300 * time.Millisecond
	leaderGap    = 400 * time.Millisecond
	maxAttempts  = 3
	poolName     = "pool"
	queueHost    = "host"
	queuePrefix  = "/q/"
	lateMost     = 6 * time.Second
	shortestWork = 20 * time.Millisecond
)

// world plays one schedule.
type world struct {
	t       *testing.T
	seed    uint64
	random  *rand.Rand
	now     time.Time
	next    container.Heap[occurrence]
	counted int
	faults  bool
	leaders []*fakeLeader
	leading int // index of the leader, -1 while there is none
	term    uint64
	log     []specifier.QueueCommand
	agents  []*fakeAgent
	jobs    []*fakeCaller
	running map[string]*workerRun // by task, on workers that are up
	noted   map[string]bool       // tasks whose end as done was noted
	started map[string]bool       // jobs of which a task started
	story   []string
}

func newWorld(t *testing.T, seed uint64) *world {
	w := &world{t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 7)), now: time.Unix(1_000_000, 0), next: container.Heap[occurrence]{Less: sooner},
		faults: true, leading: -1, running: make(map[string]*workerRun), noted: make(map[string]bool), started: make(map[string]bool)}
	for i := range controllers {
		l := &fakeLeader{world: w, index: i}
		l.machine = &dispatcher.Dispatcher{Recorder: jobrecorder.New(time.Minute), Settings: dispatcher.Defaults(),
			Leading: func(time.Time) bool { return w.leading == l.index }, EnoughVoters: func() bool { return true }}
		w.leaders = append(w.leaders, l)
	}
	for i := range agents {
		w.agents = append(w.agents, newFakeAgent(w, fmt.Sprintf("agent-%d", i)))
	}
	w.lead(0)
	w.commit(specifier.QueueCommand{Manifest: &specifier.Manifest{Version: 1, NonEnforcingPools: []string{poolName}, Queues: []specifier.Queue{
		{Name: "q", Host: queueHost, Prefix: queuePrefix, Pool: poolName, MaxAttempts: maxAttempts, Stretch: 1.6, Target: 60 * time.Millisecond}}}})
	return w
}

// span returns a random time between two bounds.
func (w *world) span(low, high time.Duration) time.Duration {
	return low + time.Duration(w.random.Int64N(int64(high-low)+1))
}

func (w *world) chance(part float64) bool { return w.random.Float64() < part }

// fault reports whether a fault of the given likelihood strikes now.
func (w *world) fault(part float64) bool { return w.faults && w.chance(part) }

func (w *world) after(span time.Duration, do func()) {
	w.counted++
	w.next.Push(occurrence{at: w.now.Add(span), sequence: w.counted, do: do})
}

// run plays until an end.
func (w *world) run(until time.Time) {
	for {
		next, ok := w.next.Peek()
		if !ok || next.at.After(until) {
			w.now = until
			return
		}
		w.next.Pop()
		w.now = next.at
		next.do()
	}
}

func (w *world) tell(format string, args ...any) {
	w.story = append(w.story, fmt.Sprintf("%8.3f ", w.now.Sub(time.Unix(1_000_000, 0)).Seconds())+fmt.Sprintf(format, args...))
}

// broken fails the schedule with what led to it.
func (w *world) broken(format string, args ...any) {
	w.t.Helper()
	last := w.story[max(len(w.story)-400, 0):]
	for _, line := range last {
		w.t.Log(line)
	}
	w.t.Fatalf("seed %d: %s", w.seed, fmt.Sprintf(format, args...))
}

// commit applies a command at every controller.
func (w *world) commit(command specifier.QueueCommand) {
	w.log = append(w.log, command)
	for _, l := range w.leaders {
		l.step(dispatcher.Applied{Command: command})
	}
}

// lead makes a controller the leader.
func (w *world) lead(index int) {
	w.term++
	w.leading = index
	w.tell("controller %d leads term %d", index, w.term)
	w.leaders[index].term = w.term
	w.leaders[index].step(dispatcher.BecameLeader{Term: w.term})
}

// depose ends the leadership. The former leader learns of it later; its lease has ended.
func (w *world) depose() {
	if w.leading < 0 {
		return
	}
	former := w.leaders[w.leading]
	w.leading = -1
	w.tell("controller %d is deposed", former.index)
	w.after(w.span(0, time.Second), func() {
		if w.leading != former.index {
			former.step(dispatcher.BecameFollower{})
		}
	})
	next := (former.index + 1 + w.random.IntN(controllers-1)) % controllers
	w.after(w.span(10*time.Millisecond, leaderGap), func() { w.lead(next) })
}

// begin schedules the callers and the faults.
func (w *world) begin() {
	for i := range 25 {
		caller := &fakeCaller{world: w, id: fmt.Sprintf("%016x", i+1), transient: w.chance(0.6)}
		w.jobs = append(w.jobs, caller)
		w.after(w.span(500*time.Millisecond, faultTime), caller.begin)
	}
	for range 2 + w.random.IntN(3) {
		w.after(w.span(time.Second, faultTime), w.depose)
	}
	for range w.random.IntN(4) {
		agent := w.agents[w.random.IntN(len(w.agents))]
		w.after(w.span(time.Second, faultTime), agent.restart)
	}
	for range w.random.IntN(4) {
		agent := w.agents[w.random.IntN(len(w.agents))]
		w.after(w.span(time.Second, faultTime), agent.cut)
	}
	for range w.random.IntN(4) {
		agent := w.agents[w.random.IntN(len(w.agents))]
		w.after(w.span(time.Second, faultTime), agent.worker.crash)
	}
}

// mustHold checks the promises at the end: every job has its answer, and what was kept is complete.
func (w *world) mustHold() {
	w.t.Helper()
	for _, caller := range w.jobs {
		caller.check()
	}
	if at := slices.IndexFunc(w.leaders, func(l *fakeLeader) bool { return l.index == w.leading }); at >= 0 {
		for _, id := range w.leaders[at].machine.Recorder.OpenJobs() {
			w.broken("job %s was kept and has not ended %v after the last fault", id, settleTime)
		}
	}
}
