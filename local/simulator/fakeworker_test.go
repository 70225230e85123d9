package simulator

import (
	"strings"
	"time"

	"oleandertally/agent/leaseholder"
	"oleandertally/core/specifier"
)

const (
	lateCalls   = 0.03 // carried out seconds later, without an answer
	lostAnswers = 0.03
	lostCalls   = 0.02
	failures    = 0.04
	callBound   = 150 * time.Millisecond
	longest     = time.Second // lease
	stopGrace   = 50 * time.Millisecond
)

// workerRun is a run at a worker.
type workerRun struct {
	key    specifier.RunKey
	room   specifier.Resources
	worker *fakeWorker
	life   int
}

// fakeWorker does what the users' pages say of a worker that does not guard its capacity.
type fakeWorker struct {
	world    *world
	name     string
	up       bool
	life     int
	born     time.Time
	rate     float64
	announce func()
	sequence uint64
	token    uint64
	until    time.Duration  // end of the lease, on the worker's clock
	lapses   int            // of the lease
	endedIn  map[uint64]int // lapses before each end that is listed
	runs     map[specifier.RunKey]*workerRun
	highest  map[string]uint64 // run of each task that was stopped or ended
	ends     []specifier.RunEnd
	last     uint64
	waiting  []func() // holds that wait for an end
}

func newFakeWorker(w *world, name string) *fakeWorker {
	f := &fakeWorker{world: w, name: name, announce: func() {}}
	f.begin()
	return f
}

func (f *fakeWorker) begin() {
	f.up, f.born, f.rate = true, f.world.now, 0.98+0.02*f.world.random.Float64()
	f.life++
	f.token, f.until, f.last, f.sequence = 0, 0, 0, 0
	f.lapses, f.endedIn = 0, make(map[uint64]int)
	f.runs, f.highest, f.ends, f.waiting = make(map[specifier.RunKey]*workerRun), make(map[string]uint64), nil, nil
	f.world.after(f.world.span(0, 200*time.Millisecond), func() { f.announce() })
}

// crash ends the worker. It comes back under its ID and knows nothing.
func (f *fakeWorker) crash() {
	if !f.up {
		return
	}
	f.world.tell("%s: the worker crashes", f.name)
	f.up = false
	for _, run := range f.runs {
		f.gone(run)
	}
	f.runs = nil
	f.world.after(f.world.span(50*time.Millisecond, 2*time.Second), f.begin)
}

func (f *fakeWorker) gone(run *workerRun) {
	if f.world.running[run.key.Task] == run {
		delete(f.world.running, run.key.Task)
	}
}

func (f *fakeWorker) clock() time.Duration {
	return time.Second + time.Duration(f.rate*float64(f.world.now.Sub(f.born)))
}

func (f *fakeWorker) answer(asked time.Time) leaseholder.Answer {
	return leaseholder.Answer{CalledAt: asked, Clock: f.clock(), StartedAt: f.born}
}

// call carries out a call now, late, or never, and passes its answer on or loses it.
func (f *fakeWorker) call(within time.Duration, lost func(leaseholder.Answer), do func(respond func(func()))) {
	w, asked, done := f.world, f.world.now, false
	w.after(within, func() {
		if !done {
			done = true
			lost(leaseholder.Answer{CalledAt: asked, Lost: true})
		}
	})
	deaf := w.fault(lostAnswers)
	life := f.life
	carry := func() {
		// A late call was on a channel of the life that it was made to, and ends with it.
		if !f.up || f.life != life {
			return
		}
		do(func(answer func()) {
			w.after(w.span(100*time.Microsecond, time.Millisecond), func() {
				if !done && !deaf {
					done = true
					answer()
				}
			})
		})
	}
	switch {
	case w.fault(lostCalls):
	case w.fault(lateCalls):
		deaf = true
		w.after(w.span(time.Second, lateMost), carry)
	default:
		w.after(w.span(100*time.Microsecond, 2*time.Millisecond), carry)
	}
}

// raise takes over a token, or reports that it is too low.
func (f *fakeWorker) raise(token uint64) bool {
	if token < f.token {
		return false
	}
	f.token = token
	return true
}

// extend takes over the end of a lease.
func (f *fakeWorker) extend(until time.Duration) {
	until = min(until, f.clock()+longest)
	if until <= f.until {
		return
	}
	f.until = until
	life := f.life
	f.world.after(time.Duration(float64(until-f.clock())/f.rate)+time.Microsecond, func() {
		if f.life == life && f.up && f.clock() >= f.until {
			f.lapses++
			for _, run := range f.runs {
				f.end(run, specifier.EndLeaseExpired)
			}
		}
	})
}

func (f *fakeWorker) end(run *workerRun, how specifier.EndKind) {
	if f.runs[run.key] != run || !f.up || run.life != f.life {
		return
	}
	delete(f.runs, run.key)
	f.gone(run)
	f.highest[run.key.Task] = max(f.highest[run.key.Task], run.key.Run)
	f.last++
	f.ends = append(f.ends, specifier.RunEnd{Number: f.last, Key: run.key, Kind: how})
	f.endedIn[f.last] = f.lapses
	f.world.tell("%s: run %v ended %v", f.name, run.key, how)
	for _, wake := range f.waiting {
		wake()
	}
	f.waiting = nil
}

func (f *fakeWorker) start(call leaseholder.Start, answer func(leaseholder.Event)) {
	asked, key := f.world.now, call.Start.Key
	lost := func(a leaseholder.Answer) { answer(leaseholder.Started{Answer: a, Key: key}) }
	f.call(callBound, lost, func(respond func(func())) {
		refuse := func(how specifier.EndKind) {
			respond(func() { answer(leaseholder.Started{Answer: f.answer(asked), Key: key, Refused: true, Kind: how}) })
		}
		switch {
		case !f.raise(call.Token):
			refuse(specifier.EndRefusedFence)
			return
		case call.LeaseEnd <= f.clock():
			refuse(specifier.EndRefusedLate)
			return
		}
		f.extend(call.LeaseEnd)
		if f.runs[key] == nil {
			if key.Run <= f.highest[key.Task] {
				refuse(specifier.EndRefusedStaleRun)
				return
			}
			f.begun(call)
		}
		respond(func() { answer(leaseholder.Started{Answer: f.answer(asked), Key: key}) })
	})
}

// begun starts a run and checks the promises.
func (f *fakeWorker) begun(call leaseholder.Start) {
	w, key := f.world, call.Start.Key
	run := &workerRun{key: key, room: call.Start.Resources, worker: f, life: f.life}
	w.tell("%s: run %v starts", f.name, key)
	if other := w.running[key.Task]; other != nil {
		w.broken("task %s runs twice: run %d at %s and run %d at %s", key.Task, other.key.Run, other.worker.name, key.Run, f.name)
	}
	if w.noted[key.Task] {
		w.broken("task %s starts again after its end was noted", key.Task)
	}
	used := run.room.MilliCores
	for _, each := range f.runs {
		used += each.room.MilliCores
	}
	if used > workerCores {
		w.broken("%s: %d thousandths of a core are in use, of %d", f.name, used, workerCores)
	}
	w.running[key.Task], f.runs[key] = run, run
	id, _, _ := strings.Cut(key.Task, ".")
	w.started[id] = true
	how := specifier.EndDone
	if w.fault(failures) {
		how = specifier.EndFailed
	}
	w.after(w.span(shortestWork, 500*time.Millisecond), func() { f.end(run, how) })
}

func (f *fakeWorker) stop(call leaseholder.Stop, answer func(leaseholder.Event)) {
	asked := f.world.now
	lost := func(a leaseholder.Answer) { answer(leaseholder.Stopped{Answer: a, Key: call.Key}) }
	f.call(callBound, lost, func(respond func(func())) {
		if !f.raise(call.Token) {
			respond(func() { answer(leaseholder.Stopped{Answer: f.answer(asked), Key: call.Key, Refused: true}) })
			return
		}
		f.highest[call.Key.Task] = max(f.highest[call.Key.Task], call.Key.Run)
		if run := f.runs[call.Key]; run != nil {
			f.world.after(f.world.span(0, stopGrace), func() { f.end(run, specifier.EndStopped) })
		}
		respond(func() { answer(leaseholder.Stopped{Answer: f.answer(asked), Key: call.Key}) })
	})
}

func (f *fakeWorker) hold(call leaseholder.Poll, answer func(leaseholder.Event)) {
	asked := f.world.now
	lost := func(a leaseholder.Answer) {
		answer(leaseholder.PollResult{Answer: a, Immediate: call.Immediate, Token: call.Token})
	}
	f.call(call.Wait+callBound, lost, func(respond func(func())) {
		if !f.raise(call.Token) {
			respond(func() {
				answer(leaseholder.PollResult{Answer: f.answer(asked), Immediate: call.Immediate, Token: call.Token, Refused: true})
			})
			return
		}
		f.extend(call.LeaseEnd)
		f.see(call.Acknowledged)
		list := func() {
			held := leaseholder.PollResult{Answer: f.answer(asked), Immediate: call.Immediate, Token: call.Token, EndsComplete: true, Ends: append([]specifier.RunEnd(nil), f.ends...)}
			for key := range f.runs {
				held.Runs = append(held.Runs, specifier.LeasedRun{Key: key})
			}
			respond(func() { answer(held) })
		}
		if call.Wait == 0 || len(f.ends) > 0 {
			list()
			return
		}
		life, listed := f.life, false
		once := func() {
			if !listed && f.life == life && f.up {
				listed = true
				list()
			}
		}
		f.waiting = append(f.waiting, once)
		f.world.after(call.Wait, once)
	})
}

// see forgets the ends that the agent says are noted.
func (f *fakeWorker) see(number uint64) {
	for len(f.ends) > 0 && f.ends[0].Number <= number {
		end := f.ends[0]
		f.ends = f.ends[1:]
		id, _, _ := strings.Cut(end.Key.Task, ".")
		if end.Kind == specifier.EndDone && f.world.kept(id) && f.endedIn[end.Number] == f.lapses {
			f.world.noted[end.Key.Task] = true
		}
	}
}
