package loadplayer

import (
	"fmt"
	"math"
	"time"

	"oleandertally/controller/dispatcher"
	"oleandertally/core/specifier"
)

// sample measures how many cores are in use.
func (p *Player) sample() {
	used, capacity := 0, 0
	for _, w := range p.workers {
		used, capacity = used+w.used(), capacity+w.capacity.MilliCores
	}
	p.window(p.now).Busy += float64(used) / float64(capacity) * float64(sampleEvery) / float64(windowSpan)
	p.plan(p.now.Add(sampleEvery), p.sample)
}

func (p *Player) addWorkers() {
	speeds := p.Scenario.Uneven.speeds()
	for number := range p.Scenario.Workers {
		w := &worker{name: fmt.Sprintf("worker-%03d", number), runs: make(map[specifier.RunKey]*run), speed: speeds[p.random.IntN(len(speeds))],
			rack: p.Scenario.Uneven.rack(number), capacity: specifier.Resources{MilliCores: p.Scenario.MilliCores, Memory: 1 << 20}}
		if number%3 == 2 {
			w.capacity.MilliCores += w.capacity.MilliCores / 2
		}
		p.workers = append(p.workers, w)
		p.connect(w)
		p.plan(p.now.Add(time.Duration(p.random.Int64N(int64(renewEvery)))), func() { p.renew(w) })
	}
}

// connect gives a worker's agent a new stream.
func (p *Player) connect(w *worker) {
	delete(p.byStream, w.stream)
	p.streams++
	w.stream = p.streams
	p.byStream[w.stream] = w
}

// renew sends a worker's report, and plans the next one.
func (p *Player) renew(w *worker) {
	p.send(w, w.report())
	p.plan(p.now.Add(renewEvery), func() { p.renew(w) })
}

// send delivers a report after the delay of the link, unless the worker is unreachable.
func (p *Player) send(w *worker, report specifier.LeaseReport) {
	if !w.reachable() {
		return
	}
	stream := w.stream
	p.plan(p.now.Add(linkDelay), func() { p.step(dispatcher.ReportReceived{Stream: stream, Report: report}) })
}

func (p *Player) planFaults() {
	for at := range p.Scenario.Faults {
		fault := &p.Scenario.Faults[at]
		count := int(math.Round(fault.Share * float64(len(p.workers))))
		for _, number := range p.random.Perm(len(p.workers))[:count] {
			w := p.workers[number]
			w.faults = append(w.faults, fault)
			p.plan(p.start.Add(fault.At), func() { p.beginFault(w, fault) })
			p.plan(p.start.Add(fault.At+fault.For), func() { p.endFault(w, fault) })
		}
	}
}

func (p *Player) beginFault(w *worker, fault *Fault) {
	if w.fault != nil {
		return
	}
	w.fault = fault
	if fault.Kind == Unreachable {
		p.plan(p.now.Add(leaseSpan), func() { p.endLeases(w, fault) })
	}
}

// endLeases ends the runs of a worker that is still unreachable.
func (p *Player) endLeases(w *worker, fault *Fault) {
	if w.fault != fault {
		return
	}
	for _, each := range w.runs {
		w.finish(each, specifier.EndLeaseExpired)
	}
}

func (p *Player) endFault(w *worker, fault *Fault) {
	if w.fault != fault {
		return
	}
	w.fault = nil
	switch fault.Kind {
	case Unreachable:
		p.connect(w)
	case Hanging:
		for _, each := range w.runs {
			p.planEnd(w, each, p.trueRunTime(w, each))
		}
	}
}

// order carries out an order at a worker.
func (p *Player) order(w *worker, order specifier.LeaseOrder) {
	if !w.reachable() {
		return
	}
	w.token, w.orders = order.Token, order.OrderCount
	for len(w.ends) > 0 && w.ends[0].Number <= order.AcknowledgedEnd {
		w.ends = w.ends[1:]
	}
	for _, start := range order.Starts {
		p.startRun(w, start)
	}
	for _, key := range order.Stops {
		if each := w.runs[key]; each != nil {
			p.plan(p.now.Add(stopDelay), func() { p.endRun(w, each, specifier.EndStopped) })
		}
	}
}

func (p *Player) startRun(w *worker, start specifier.RunStart) {
	q := p.byID[start.Key.Task[:16]]
	each := &run{key: start.Key, request: q, startedAt: p.now}
	w.runs[start.Key] = each
	if w.fault == nil || w.fault.Kind != Hanging {
		p.planEnd(w, each, p.trueRunTime(w, each))
	}
}

// trueRunTime returns how long a run takes at a worker as the worker is now.
func (p *Player) trueRunTime(w *worker, each *run) time.Duration {
	index := 0
	fmt.Sscanf(each.key.Task[17:], "0.0.%d", &index)
	span := float64(each.request.runTimes[index]) / w.speed
	if w.fault != nil && w.fault.Kind == Slow {
		span *= w.fault.Factor
	}
	if each.request.rack != w.rack && each.request.rack != "" {
		span *= p.Scenario.Uneven.RemoteFactor
	}
	return time.Duration(span)
}

func (p *Player) planEnd(w *worker, each *run, span time.Duration) {
	kind := specifier.EndDone
	if w.fault != nil && w.fault.Kind == Failing {
		kind, span = specifier.EndFailed, min(span, failDelay)
	}
	p.plan(p.now.Add(span), func() { p.endRun(w, each, kind) })
}

// endRun ends a run that has not ended, and reports the end.
func (p *Player) endRun(w *worker, each *run, kind specifier.EndKind) {
	if w.runs[each.key] != each {
		return
	}
	worked := p.now.Sub(each.startedAt).Seconds() * float64(each.request.resources.MilliCores) / 1000
	p.report.Worked += worked
	each.request.worked += worked
	if each.request.answered || kind != specifier.EndDone {
		p.report.Wasted += worked
	}
	w.finish(each, kind)
	p.send(w, specifier.LeaseReport{Agent: w.name, Incarnation: 1, LastOrder: w.orders, AllRunsKnown: true, Token: w.token, Ends: w.ends[len(w.ends)-1:]})
}
