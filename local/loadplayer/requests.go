package loadplayer

import (
	"fmt"
	"math"
	"time"

	"oleandertally/controller/dispatcher"
	"oleandertally/core/specifier"
)

// window returns the result of the window of a time.
func (p *Player) window(at time.Time) *Result {
	number := int(at.Sub(p.start) / windowSpan)
	for len(p.report.Windows) <= number {
		p.report.Windows = append(p.report.Windows, Result{Name: (time.Duration(len(p.report.Windows)) * windowSpan).String()})
	}
	return &p.report.Windows[number]
}

// planArrivals plans the requests of the whole span.
func (p *Player) planArrivals() {
	for since := time.Duration(0); since < p.Scenario.Span; since += arrivalSteps {
		for zone := range max(p.Scenario.Zones, 1) {
			for number := range p.Scenario.Kinds {
				p.planStep(since, zone, number)
			}
		}
	}
}

// planStep plans the requests of a zone and kind in the step that begins at a time since the start.
func (p *Player) planStep(since time.Duration, zone, number int) {
	kind := p.Scenario.Kinds[number]
	rate := kind.Rate * p.Scenario.Scale / float64(max(p.Scenario.Zones, 1)) * p.Scenario.Wave.factor(zone, since)
	for _, burst := range p.Scenario.Bursts {
		if burst.active(kind.Name, p.zoneName(zone), since) {
			rate *= burst.Factor
		}
	}
	for range p.poisson(rate * arrivalSteps.Seconds()) {
		q := draw(p.random, number, kind)
		q.zone = zone
		p.Scenario.Uneven.change(p.random, q, kind, p.Scenario.Workers)
		if p.KnowsTimes {
			q.estimate = q.longest()
		}
		if p.Scenario.ByWork {
			q.weight = q.coreSeconds()
		}
		at := p.start.Add(since + time.Duration(p.random.Int64N(int64(arrivalSteps))))
		p.plan(at, func() { p.submit(q) })
		p.offer(q, at)
	}
}

// zoneName returns the name of a zone of callers, or nothing if the scenario has none.
func (p *Player) zoneName(zone int) string {
	if p.Scenario.Zones == 0 {
		return ""
	}
	return fmt.Sprintf("zone %d", zone)
}

// delay returns how much longer than linkDelay messages between the caller and the controllers take.
func (p *Player) delay(q *request) time.Duration { return time.Duration(q.zone) * p.Scenario.Delay }

// worth returns what a request adds to the worth of a window.
func (p *Player) worth(q *request) float64 {
	if p.Scenario.ByWork {
		return q.weight
	}
	return q.weight / p.Scenario.Kinds[q.kind].Rate
}

// poisson draws a count with the given mean, by multiplying uniform numbers.
func (p *Player) poisson(mean float64) int {
	limit, product := math.Exp(-mean), 1.0
	for count := 0; ; count++ {
		if product *= p.random.Float64(); product < limit {
			return count
		}
	}
}

func (p *Player) submit(q *request) {
	p.last++
	q.sequence, q.sentAt, q.id = p.last, p.now, fmt.Sprintf("%016x", p.last)
	p.requests[q.sequence], p.byID[q.id] = q, q
	timeLeft := lateFactor * q.objective
	call := specifier.QueueCall{Verb: specifier.SubmitQueued, Host: "h", Path: "/" + p.Scenario.Kinds[q.kind].Name + "/" + q.id, Job: q.job(), TimeLeft: timeLeft,
		Zone: p.zoneName(q.zone), Age: p.delay(q)}
	p.plan(p.now.Add(p.delay(q)+linkDelay), func() { p.step(dispatcher.CallReceived{Stream: callers, Sequence: q.sequence, Call: call}) })
	p.plan(p.now.Add(timeLeft), func() { p.giveUp(q) })
}

// giveUp ends a request whose caller stops waiting.
func (p *Player) giveUp(q *request) {
	if q.answered {
		return
	}
	p.conclude(q, outcomeUnanswered)
	p.step(dispatcher.CallReceived{Stream: callers, Sequence: q.sequence, Call: specifier.QueueCall{Verb: specifier.AbandonQueued}})
}

// conclude counts what a request got.
func (p *Player) conclude(q *request, got outcome) {
	if q.answered {
		return
	}
	q.answered = true
	took := p.now.Sub(q.sentAt)
	kind := &p.report.Kinds[q.kind]
	kind.add(q, got, took, q.weight)
	if got == outcomeRefused && p.hasRoom(q) {
		kind.RefusedFree++
	}
	if got != outcomeDone {
		p.report.Wasted += q.worked
	}
	p.window(q.sentAt).add(q, got, took, p.worth(q))
	if p.Scenario.Zones > 0 {
		p.report.Zones[q.zone].add(q, got, took, p.worth(q))
	}
	if len(q.runTimes) > 2*int(p.Scenario.Kinds[q.kind].Tasks) {
		p.report.WideJobs.add(q, got, took, p.worth(q))
	}
}

// hasRoom reports whether the workers without a fault have room for the whole job.
func (p *Player) hasRoom(q *request) bool {
	room := 0
	for _, w := range p.workers {
		if w.fault == nil {
			room += max(w.capacity.MilliCores-w.used(), 0) / q.resources.MilliCores
		}
	}
	return room >= len(q.runTimes)
}

func (p *Player) replied(q *request, reply specifier.QueueReply) {
	switch {
	case reply.Result == specifier.QueueRefused:
		p.conclude(q, outcomeRefused)
	case reply.State == specifier.JobCompleted:
		p.conclude(q, outcomeDone)
	default:
		p.conclude(q, outcomeFailed)
	}
}
