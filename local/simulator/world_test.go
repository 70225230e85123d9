package simulator

import (
	"fmt"
	"math"
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
	controllerCount = 3
	agentCount      = 4
	settleTime      = 12 * time.Second // the fault-free time at the end of a schedule
	faultTime       = 8 * time.Second
	workerCores     = 4000
	callerTimeLeft  = 3 * time.Second
	resendInterval  = 300 * time.Millisecond
	maxElectionTime = 400 * time.Millisecond
	maxAttempts     = 3
	poolName        = "pool"
	queueHost       = "host"
	queuePrefix     = "/q/"
	innerPrefix     = "/q/inner/"
	maxCallDelay    = 6 * time.Second
	// callerPause is the least time between two attempts of a caller whose entry was lost.
	callerPause = 1300 * time.Millisecond
	// warmUp is the time before the faults in a world whose leaders announce jobs.
	warmUp     = 6 * time.Second
	minRunTime = 20 * time.Millisecond
	zoneCount  = 2
	// maxSlowDelay is longer than the log takes to commit, so that starts ordered before an evacuation arrive after its commit.
	maxSlowDelay = 250 * time.Millisecond
	// cancelledJobs have fewer tasks together than fit into the workers.
	cancelledJobs = 2
	// endsPerSmallPage is the number of ends in one answer of most worlds' workers. A page that is full may have a next one.
	endsPerSmallPage = 2
	// wideJobs have wideJobTasks tasks each, all of which fit into the workers together.
	wideJobs       = 6
	wideJobTasks   = 24
	smallTaskCores = 100 // in thousandths
)

// world simulates the controllers, agents, workers and callers of one schedule.
type world struct {
	t             *testing.T
	seed          uint64
	random        *rand.Rand
	now           time.Time
	timers        container.Heap[timer]
	timerCount    int
	faultsEnabled bool
	leaders       []*fakeLeader
	leaderIndex   int // -1 while there is no leader
	term          uint64
	commandLog    []specifier.QueueCommand
	manifestCount uint64
	agents        []*fakeAgent
	callers       []*fakeCaller
	cancellers    []*fakeCanceller
	operators     []*fakeOperator
	zoneOrders    map[specifier.QueueVerb]int // acknowledged orders
	running       map[string]*workerRun       // by task, on live workers
	acknowledged  map[string]bool             // tasks whose end as done was acknowledged
	starts        map[string]int              // started runs by task
	started       map[string]bool             // jobs with at least one started task
	announcing    bool                        // leaders announce the jobs that they may start
	endsPerPage   int                         // the most ends that a worker lists in one answer
	slowUntil     time.Time                   // until then the log commits slowly
	logLines      []string
}

func newWorld(t *testing.T, seed uint64) *world {
	w := &world{t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 7)), now: time.Unix(1_000_000, 0), timers: container.Heap[timer]{Less: earlier},
		faultsEnabled: true, leaderIndex: -1, running: make(map[string]*workerRun), acknowledged: make(map[string]bool), started: make(map[string]bool), starts: make(map[string]int), zoneOrders: make(map[specifier.QueueVerb]int)}
	w.announcing, w.endsPerPage = seed%2 == 0, endsPerSmallPage
	if seed%4 == 3 { // the workers of these worlds never have as many ends
		w.endsPerPage = math.MaxInt
	}
	settings := dispatcher.Defaults()
	if w.announcing {
		settings.ResendAfter = callerPause
	}
	for i := range controllerCount {
		l := &fakeLeader{world: w, index: i}
		l.machine = &dispatcher.Dispatcher{Recorder: jobrecorder.New(time.Minute), Settings: settings,
			Leading: func(time.Time) bool { return w.leaderIndex == l.index }, EnoughVoters: func() bool { return true }}
		w.leaders = append(w.leaders, l)
	}
	for i := range agentCount {
		oldVersion := seed%5 == 1 && i == agentCount-1
		w.agents = append(w.agents, newFakeAgent(w, fmt.Sprintf("agent-%d", i), zoneName(i%zoneCount), oldVersion))
	}
	w.elect(0)
	w.putManifest(testQueue("q", queuePrefix))
	return w
}

func testQueue(name, prefix string) specifier.Queue {
	return specifier.Queue{Name: name, Host: queueHost, Prefix: prefix, Pool: poolName, MaxAttempts: maxAttempts, Stretch: 1.6, Target: 60 * time.Millisecond}
}

// putManifest commits the next version of the manifest.
func (w *world) putManifest(queues ...specifier.Queue) {
	w.manifestCount++
	w.logf("manifest %d has %d queues", w.manifestCount, len(queues))
	w.commit(specifier.QueueCommand{Manifest: &specifier.Manifest{Version: w.manifestCount, NonEnforcingPools: []string{poolName}, Queues: queues}})
}

func zoneName(zone int) string { return fmt.Sprintf("zone-%d", zone) }

// commitDelay returns how long the log takes to commit a proposal.
func (w *world) commitDelay() time.Duration {
	if w.now.Before(w.slowUntil) {
		return w.randomDuration(30*time.Millisecond, 400*time.Millisecond)
	}
	return w.randomDuration(5*time.Millisecond, 20*time.Millisecond)
}

// runTime returns how long a run takes. While leaders announce jobs, many runs last until their leases end.
func (w *world) runTime() time.Duration {
	if w.announcing && w.faultOccurs(0.5) {
		return w.randomDuration(500*time.Millisecond, 2500*time.Millisecond)
	}
	return w.randomDuration(minRunTime, 500*time.Millisecond)
}

// randomDuration returns a random duration between two bounds.
func (w *world) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(w.random.Int64N(int64(high-low)+1))
}

func (w *world) chance(probability float64) bool { return w.random.Float64() < probability }

// faultOccurs reports whether a fault of the given probability occurs now. None occurs while faults are disabled.
func (w *world) faultOccurs(probability float64) bool {
	return w.faultsEnabled && w.chance(probability)
}

func (w *world) after(delay time.Duration, run func()) {
	w.timerCount++
	w.timers.Push(timer{at: w.now.Add(delay), sequence: w.timerCount, run: run})
}

// run runs the timers that are due up to a time.
func (w *world) run(until time.Time) {
	for {
		next, ok := w.timers.Peek()
		if !ok || next.at.After(until) {
			w.now = until
			return
		}
		w.timers.Pop()
		w.now = next.at
		next.run()
	}
}

func (w *world) logf(format string, args ...any) {
	w.logLines = append(w.logLines, fmt.Sprintf("%8.3f ", w.now.Sub(time.Unix(1_000_000, 0)).Seconds())+fmt.Sprintf(format, args...))
}

// failf fails the test and prints the seed and the last log lines of the schedule.
func (w *world) failf(format string, args ...any) {
	w.t.Helper()
	last := w.logLines[max(len(w.logLines)-400, 0):]
	for _, line := range last {
		w.t.Log(line)
	}
	w.t.Fatalf("seed %d: %s", w.seed, fmt.Sprintf(format, args...))
}

// commit applies a command on every controller.
func (w *world) commit(command specifier.QueueCommand) {
	w.commandLog = append(w.commandLog, command)
	for _, l := range w.leaders {
		l.step(dispatcher.Applied{Command: command})
	}
}

// elect makes a controller the leader of a new term.
func (w *world) elect(index int) {
	w.term++
	w.leaderIndex = index
	w.logf("controller %d leads term %d", index, w.term)
	w.leaders[index].term = w.term
	w.leaders[index].step(dispatcher.BecameLeader{Term: w.term})
}

// depose ends the leader's lease. The former leader learns of this later, and another controller is elected.
func (w *world) depose() {
	if w.leaderIndex < 0 {
		return
	}
	former := w.leaders[w.leaderIndex]
	w.leaderIndex = -1
	w.logf("controller %d is deposed", former.index)
	w.after(w.randomDuration(0, time.Second), func() {
		if w.leaderIndex != former.index {
			former.step(dispatcher.BecameFollower{})
		}
	})
	next := (former.index + 1 + w.random.IntN(controllerCount-1)) % controllerCount
	w.after(w.randomDuration(10*time.Millisecond, maxElectionTime), func() { w.elect(next) })
}

// mustKeepGuarantees checks at the end that every job has its answer and that no recorded job is still open.
func (w *world) mustKeepGuarantees() {
	w.t.Helper()
	for _, caller := range w.callers {
		caller.check()
	}
	for _, canceller := range w.cancellers {
		canceller.check()
	}
	for _, operator := range w.operators {
		operator.check()
	}
	for _, agent := range w.agents {
		agent.check()
	}
	if at := slices.IndexFunc(w.leaders, func(l *fakeLeader) bool { return l.index == w.leaderIndex }); at >= 0 {
		for _, id := range w.leaders[at].machine.Recorder.OpenJobs() {
			w.failf("recorded job %s has not ended %v after the last fault", id, settleTime)
		}
	}
}
