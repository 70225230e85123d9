package simulator

import (
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"oleandertally/agent/leaseholder"
	"oleandertally/core/specifier"
)

const (
	lateCallShare   = 0.03 // calls carried out seconds later, whose answers are lost
	lostAnswerShare = 0.03
	lostCallShare   = 0.02
	failedRunShare  = 0.04
	callTimeout     = 150 * time.Millisecond
	maxLease        = time.Second
	maxStopDelay    = 50 * time.Millisecond
	// announceInterval is the time between two announcements of a worker.
	announceInterval = 1500 * time.Millisecond
	// maxClockStep bounds the error of a worker host's time of day, which may step between two incarnations of the worker.
	maxClockStep = 3 * time.Second
)

// workerRun is a run of a task on one incarnation of a worker.
type workerRun struct {
	key         specifier.RunKey
	resources   specifier.Resources
	worker      *fakeWorker
	incarnation int
}

// fakeWorker follows the documented worker protocol, for a worker that does not check its own capacity.
type fakeWorker struct {
	world        *world
	random       *rand.Rand // of its own, so that the other faults of a seed stay as they were
	name         string
	zone         string
	up           bool
	incarnation  int
	bootedAt     time.Time
	startedAt    time.Time // bootedAt by the host's time of day
	clockRate    float64
	announce     func()
	sequence     uint64
	token        uint64
	leaseEnd     time.Duration         // on the worker's clock
	expiries     int                   // how often the lease has expired
	contexts     map[uint64]endContext // by number of the end
	runs         map[specifier.RunKey]*workerRun
	highestEnded map[string]uint64  // highest stopped or ended run of each task
	ends         []specifier.RunEnd // not yet acknowledged
	lastEnd      uint64
	waitingPolls []func() // answer the polls that wait for a run to end
}

func newFakeWorker(w *world, name string) *fakeWorker {
	stream := fnv.New64()
	_, _ = stream.Write([]byte(name)) // can't fail
	f := &fakeWorker{world: w, name: name, random: rand.New(rand.NewPCG(w.seed, stream.Sum64())), announce: func() {}}
	f.boot()
	return f
}

func (f *fakeWorker) boot() {
	f.up, f.bootedAt, f.clockRate = true, f.world.now, 0.98+0.02*f.world.random.Float64()
	f.startedAt = f.bootedAt.Add(time.Duration(f.random.Int64N(int64(2*maxClockStep))) - maxClockStep)
	f.incarnation++
	f.token, f.leaseEnd, f.lastEnd, f.sequence = 0, 0, 0, 0
	f.expiries, f.contexts = 0, make(map[uint64]endContext)
	f.runs, f.highestEnded, f.ends, f.waitingPolls = make(map[specifier.RunKey]*workerRun), make(map[string]uint64), nil, nil
	incarnation := f.incarnation
	f.world.after(f.world.randomDuration(0, 200*time.Millisecond), func() { f.announceRepeatedly(incarnation) })
}

// crash ends the worker. It restarts later under the same ID and without state.
func (f *fakeWorker) crash() {
	if !f.up {
		return
	}
	f.world.logf("%s: the worker crashes", f.name)
	f.up = false
	for _, run := range f.runs {
		f.removeRunning(run)
	}
	f.runs = nil
	f.world.after(f.world.randomDuration(50*time.Millisecond, 2*time.Second), f.boot)
}

func (f *fakeWorker) removeRunning(run *workerRun) {
	if f.world.running[run.key.Task] == run {
		delete(f.world.running, run.key.Task)
	}
}

func (f *fakeWorker) clock() time.Duration {
	return time.Second + time.Duration(f.clockRate*float64(f.world.now.Sub(f.bootedAt)))
}

func (f *fakeWorker) answer(calledAt time.Time) leaseholder.Answer {
	return leaseholder.Answer{CalledAt: calledAt, Clock: f.clock(), StartedAt: f.startedAt}
}

// call carries out a call soon, late, or never, and delivers or loses its answer.
func (f *fakeWorker) call(timeout time.Duration, onTimeout func(leaseholder.Answer), handle func(respond func(func()))) {
	w, calledAt, done := f.world, f.world.now, false
	w.after(timeout, func() {
		if !done {
			done = true
			onTimeout(leaseholder.Answer{CalledAt: calledAt, Lost: true})
		}
	})
	answerLost := w.faultOccurs(lostAnswerShare)
	incarnation := f.incarnation
	execute := func() {
		// A call belongs to a connection, which ends with the incarnation of the worker that it was made to.
		if !f.up || f.incarnation != incarnation {
			return
		}
		handle(func(answer func()) {
			w.after(w.randomDuration(100*time.Microsecond, time.Millisecond), func() {
				if !done && !answerLost {
					done = true
					answer()
				}
			})
		})
	}
	switch {
	case w.faultOccurs(lostCallShare):
	case w.faultOccurs(lateCallShare):
		answerLost = true
		w.after(w.randomDuration(time.Second, maxCallDelay), execute)
	default:
		w.after(w.randomDuration(100*time.Microsecond, 2*time.Millisecond), execute)
	}
}

// acceptToken stores a fencing token and reports true, or reports false if it has seen a higher one.
func (f *fakeWorker) acceptToken(token uint64) bool {
	if token < f.token {
		return false
	}
	f.token = token
	return true
}

// extendLease moves the end of the lease forward, up to maxLease from now. When the lease expires, all runs end.
func (f *fakeWorker) extendLease(until time.Duration) {
	until = min(until, f.clock()+maxLease)
	if until <= f.leaseEnd {
		return
	}
	f.leaseEnd = until
	incarnation := f.incarnation
	f.world.after(time.Duration(float64(until-f.clock())/f.clockRate)+time.Microsecond, func() {
		if f.incarnation == incarnation && f.up && f.clock() >= f.leaseEnd {
			f.expiries++
			for _, run := range f.runs {
				f.end(run, specifier.EndLeaseExpired)
			}
		}
	})
}

func (f *fakeWorker) end(run *workerRun, kind specifier.EndKind) {
	if f.runs[run.key] != run || !f.up || run.incarnation != f.incarnation {
		return
	}
	delete(f.runs, run.key)
	f.removeRunning(run)
	f.highestEnded[run.key.Task] = max(f.highestEnded[run.key.Task], run.key.Run)
	f.lastEnd++
	f.ends = append(f.ends, specifier.RunEnd{Number: f.lastEnd, Key: run.key, Kind: kind})
	f.contexts[f.lastEnd] = endContext{expiries: f.expiries, starts: f.world.starts[run.key.Task]}
	f.world.logf("%s: run %v ended %v", f.name, run.key, kind)
	for _, wake := range f.waitingPolls {
		wake()
	}
	f.waitingPolls = nil
}

func (f *fakeWorker) start(call leaseholder.Start, answer func(leaseholder.Event)) {
	calledAt, key := f.world.now, call.Start.Key
	onTimeout := func(a leaseholder.Answer) { answer(leaseholder.Started{Answer: a, Key: key}) }
	f.call(callTimeout, onTimeout, func(respond func(func())) {
		refuse := func(kind specifier.EndKind) {
			respond(func() { answer(leaseholder.Started{Answer: f.answer(calledAt), Key: key, Refused: true, Kind: kind}) })
		}
		switch {
		case f.isOther(call.WorkerID):
			refuse(specifier.EndRefusedOther)
			return
		case !f.acceptToken(call.Token):
			refuse(specifier.EndRefusedFence)
			return
		case call.LeaseEnd <= f.clock():
			refuse(specifier.EndRefusedLate)
			return
		}
		f.extendLease(call.LeaseEnd)
		if f.runs[key] == nil {
			if key.Run <= f.highestEnded[key.Task] {
				refuse(specifier.EndRefusedStaleRun)
				return
			}
			f.startRun(call)
		}
		respond(func() { answer(leaseholder.Started{Answer: f.answer(calledAt), Key: key}) })
	})
}

// startRun starts a run and checks the guarantees: no task runs twice or again after its end, and the capacity suffices.
func (f *fakeWorker) startRun(call leaseholder.Start) {
	w, key := f.world, call.Start.Key
	run := &workerRun{key: key, resources: call.Start.Resources, worker: f, incarnation: f.incarnation}
	w.logf("%s: run %v starts", f.name, key)
	for _, operator := range w.operators {
		operator.checkStart(f, key)
	}
	if other := w.running[key.Task]; other != nil {
		w.failf("task %s runs twice: run %d at %s and run %d at %s", key.Task, other.key.Run, other.worker.name, key.Run, f.name)
	}
	if w.acknowledged[key.Task] {
		w.failf("task %s starts again after its end was acknowledged", key.Task)
	}
	used := run.resources.MilliCores
	for _, each := range f.runs {
		used += each.resources.MilliCores
	}
	if used > workerCores {
		w.failf("%s: runs use %d millicores of %d", f.name, used, workerCores)
	}
	w.running[key.Task], f.runs[key] = run, run
	w.starts[key.Task]++
	id, _, _ := strings.Cut(key.Task, ".")
	w.started[id] = true
	kind := specifier.EndDone
	if w.faultOccurs(failedRunShare) {
		kind = specifier.EndFailed
	}
	w.after(w.runTimeOf(id), func() { f.end(run, kind) })
}

func (f *fakeWorker) stop(call leaseholder.Stop, answer func(leaseholder.Event)) {
	calledAt := f.world.now
	onTimeout := func(a leaseholder.Answer) { answer(leaseholder.Stopped{Answer: a, Key: call.Key}) }
	f.call(callTimeout, onTimeout, func(respond func(func())) {
		if f.isOther(call.WorkerID) || !f.acceptToken(call.Token) {
			respond(func() { answer(leaseholder.Stopped{Answer: f.answer(calledAt), Key: call.Key, Refused: true}) })
			return
		}
		f.highestEnded[call.Key.Task] = max(f.highestEnded[call.Key.Task], call.Key.Run)
		if run := f.runs[call.Key]; run != nil {
			f.world.after(f.world.randomDuration(0, maxStopDelay), func() { f.end(run, specifier.EndStopped) })
		}
		respond(func() { answer(leaseholder.Stopped{Answer: f.answer(calledAt), Key: call.Key}) })
	})
}

func (f *fakeWorker) poll(call leaseholder.Poll, answer func(leaseholder.Event)) {
	calledAt := f.world.now
	onTimeout := func(a leaseholder.Answer) {
		answer(leaseholder.PollResult{Answer: a, Immediate: call.Immediate, Token: call.Token})
	}
	f.call(call.Wait+callTimeout, onTimeout, func(respond func(func())) {
		if f.isOther(call.WorkerID) || !f.acceptToken(call.Token) {
			respond(func() {
				answer(leaseholder.PollResult{Answer: f.answer(calledAt), Immediate: call.Immediate, Token: call.Token, Refused: true})
			})
			return
		}
		f.extendLease(call.LeaseEnd)
		f.acknowledge(call.Acknowledged)
		list := func() {
			listed := slices.Clone(f.ends[:min(len(f.ends), f.world.endsPerPage)])
			result := leaseholder.PollResult{Answer: f.answer(calledAt), Immediate: call.Immediate, Token: call.Token, Ends: listed}
			if len(listed) < f.world.endsPerPage {
				result.Completeness = leaseholder.ListComplete
			}
			for key := range f.runs {
				result.Runs = append(result.Runs, specifier.LeasedRun{Key: key})
			}
			respond(func() { answer(result) })
		}
		if call.Wait == 0 || len(f.ends) > 0 {
			list()
			return
		}
		incarnation, listed := f.incarnation, false
		wake := func() {
			if !listed && f.incarnation == incarnation && f.up {
				listed = true
				list()
			}
		}
		f.waitingPolls = append(f.waitingPolls, wake)
		f.world.after(call.Wait, wake)
	})
}

// acknowledge deletes the ends up to a number that the agent reports as acknowledged by the controller. A done task of a
// recorded job must not have started again since its end, nor start later, provided that the lease has not expired since the end.
func (f *fakeWorker) acknowledge(number uint64) {
	w := f.world
	for len(f.ends) > 0 && f.ends[0].Number <= number {
		end, context := f.ends[0], f.contexts[f.ends[0].Number]
		f.ends = f.ends[1:]
		id, _, _ := strings.Cut(end.Key.Task, ".")
		if end.Kind != specifier.EndDone || !w.isRecorded(id) || context.expiries != f.expiries {
			continue
		}
		w.acknowledged[end.Key.Task] = true
		if w.starts[end.Key.Task] > context.starts {
			w.failf("task %s was started again after the end of its run %d, which is acknowledged now", end.Key.Task, end.Key.Run)
		}
	}
}
