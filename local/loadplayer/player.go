package loadplayer

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"oleandertally/controller/dispatcher"
	"oleandertally/core/container"
	"oleandertally/core/specifier"
	"oleandertally/dispatch/estimator"
	"oleandertally/state/jobrecorder"
)

const (
	pool         = "workers"
	callers      = dispatcher.Stream(1 << 20)
	linkDelay    = 1500 * time.Microsecond // one way between two processes
	renewEvery   = 100 * time.Millisecond
	leaseSpan    = time.Second // an unreachable worker's runs end this long after
	stopDelay    = 10 * time.Millisecond
	failDelay    = 30 * time.Millisecond // a run on a failing worker takes at most this long
	windowSpan   = 2 * time.Second
	sampleEvery  = 10 * time.Millisecond
	idleSpan     = 5 * time.Second // the play goes on this long after the last arrival
	arrivalSteps = 10 * time.Millisecond
)

// Player plays a scenario. Exported fields are set before Run.
type Player struct {
	Scenario    Scenario
	Seed        uint64
	Settings    dispatcher.Settings
	KnowsSpeeds bool // the dispatcher knows the speeds of the workers and the mean error of each kind's estimates
	KnowsTimes  bool // the estimates are exact

	dispatcher *dispatcher.Dispatcher
	random     *rand.Rand
	start      time.Time
	now        time.Time
	moments    container.Heap[moment]
	planned    int
	workers    []*worker
	byStream   map[dispatcher.Stream]*worker
	requests   map[uint64]*request
	byID       map[string]*request
	last       uint64
	streams    dispatcher.Stream
	report     Report
	offers     [][]offer // requests by the window in which they are sent
}

// Run plays the scenario and returns the report. It ends early with the cause of ctx.
func (p *Player) Run(ctx context.Context) (Report, error) {
	if err := p.Scenario.Check(); err != nil {
		return Report{}, errors.Wrap(err, "loadplayer")
	}
	p.open()
	end := p.start.Add(p.Scenario.Span + idleSpan)
	for {
		next, ok := p.moments.Peek()
		due := p.dispatcher.Next()
		if ok && (due.IsZero() || !due.Before(next.at)) {
			if next.at.After(end) {
				break
			}
			p.moments.Pop()
			p.now = next.at
			next.happen()
		} else {
			p.now = due
			p.perform(p.dispatcher.Expire(p.now))
		}
		if err := context.Cause(ctx); err != nil {
			return Report{}, errors.Wrap(err, "loadplayer")
		}
	}
	p.report.setWorstWindow()
	p.report.Bound, p.report.BoundWorstWindow = p.bound()
	return p.report, nil
}

func (p *Player) open() {
	p.random = rand.New(rand.NewPCG(p.Seed, 1))
	p.start = time.Unix(1000, 0)
	p.now = p.start.Add(-time.Second)
	p.moments.Less = sooner
	p.byStream, p.requests, p.byID = make(map[dispatcher.Stream]*worker), make(map[uint64]*request), make(map[string]*request)
	p.report = Report{Scenario: p.Scenario.Name, Seed: p.Seed}
	manifest := &specifier.Manifest{Version: 1}
	for _, kind := range p.Scenario.Kinds {
		p.report.Kinds = append(p.report.Kinds, Result{Name: kind.Name})
		manifest.Queues = append(manifest.Queues, specifier.Queue{Name: kind.Name, Host: "h", Prefix: "/" + kind.Name + "/", Pool: pool,
			Priority: kind.Priority, MaxAttempts: 3, Stretch: kind.Stretch, Target: kind.Target})
	}
	if p.Scenario.Uneven.RemoteFactor > 0 {
		p.Settings.RemoteFactor = p.Scenario.Uneven.RemoteFactor
	}
	always := func() bool { return true }
	p.dispatcher = &dispatcher.Dispatcher{Recorder: jobrecorder.New(time.Minute), Settings: p.Settings,
		Leading: func(time.Time) bool { return true }, EnoughVoters: always}
	if p.KnowsSpeeds {
		p.dispatcher.NewEstimates = func() estimator.Policy[string, string] { return known{p} }
	}
	p.step(dispatcher.BecameLeader{Term: 1})
	p.step(dispatcher.Applied{Command: specifier.QueueCommand{Manifest: manifest}})
	for zone := range p.Scenario.Zones {
		p.report.Zones = append(p.report.Zones, Result{Name: p.zoneName(zone)})
	}
	p.report.WideJobs.Name = "wide jobs"
	p.addWorkers()
	p.planFaults()
	p.planArrivals()
	p.plan(p.start, p.sample)
}

func (p *Player) plan(at time.Time, happen func()) {
	p.planned++
	p.moments.Push(moment{at: at, number: p.planned, happen: happen})
}

func (p *Player) step(event dispatcher.Event) { p.perform(p.dispatcher.Step(p.now, event)) }

func (p *Player) perform(actions []dispatcher.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case dispatcher.Propose:
			p.step(dispatcher.Applied(action))
		case dispatcher.Order:
			if w := p.byStream[action.Stream]; w != nil && w.reachable() {
				p.plan(p.now.Add(linkDelay), func() { p.order(w, action.Order) })
			}
		case dispatcher.Reply:
			q := p.requests[action.Sequence]
			p.plan(p.now.Add(linkDelay+p.delay(q)), func() { p.replied(q, action.Reply) })
		}
	}
}
