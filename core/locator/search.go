package locator

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// maxProbes bounds the controllers that are asked within recentProbe. One follower alone may be the last to learn of a new leader,
	// or may have lost its disk and know none.
	maxProbes = 3
	// recentProbe is how long a controller that does not answer counts against maxProbes.
	recentProbe = 400 * time.Millisecond
	// maxStreams bounds the streams that are open at the same time.
	maxStreams = 6
	// maxRelayed bounds the streams through relays that are open at the same time: to a relay that is being tried, to the one before it
	// that may still answer, and to a leader that one of them has named.
	maxRelayed = 3
	// probeInterval is how long to wait for the open streams before another controller is asked as well.
	probeInterval = 80 * time.Millisecond
	// maxRetryDelay bounds the random delay before the next controller is asked after one has failed.
	maxRetryDelay = 60 * time.Millisecond
	// leaderTimeout is how long to wait for a follower to name a leader.
	leaderTimeout = 400 * time.Millisecond
	// namedAgainAfter is how long a named leader that failed is not asked again. A controller that was asked before it listened may lead
	// soon after.
	namedAgainAfter = 50 * time.Millisecond
)

// search asks several controllers at the same time for the leader.
type search[In, Out any] struct {
	locator *Locator[In, Out]
	first   netip.AddrPort // asked before the others; zero for none
	plan    *relayPlan

	group   errgroup.Group
	results chan finding[In, Out]
	active  map[route]*probe[In, Out]
	failed  map[route]time.Time
}

// run returns an open stream to the leader, or nil once ctx ends.
func (s *search[In, Out]) run(ctx context.Context) *probe[In, Out] {
	s.results = make(chan finding[In, Out])
	s.active, s.failed = make(map[route]*probe[In, Out]), make(map[route]time.Time)
	done := make(chan struct{})
	leader := s.find(ctx, done)
	close(done)
	if leader != nil {
		delete(s.active, leader.route)
	}
	for _, each := range s.active {
		each.cancel(nil)
	}
	_ = s.group.Wait() // always nil: the errors are in the findings
	for _, each := range s.active {
		each.close()
	}
	return leader
}

func (s *search[In, Out]) find(ctx context.Context, done <-chan struct{}) *probe[In, Out] {
	next, relay := time.NewTimer(0), time.NewTimer(time.Hour)
	defer next.Stop()
	defer relay.Stop()
	s.start(ctx, route{controller: s.first}, done)
	for {
		if due := s.plan.due(); !due.IsZero() {
			relay.Reset(time.Until(due))
		}
		select {
		case <-ctx.Done():
			return nil
		case <-next.C:
			if s.recent() < maxProbes && s.count(false) < maxStreams {
				s.start(ctx, route{controller: s.locator.pick(s.isActive)}, done)
			}
			next.Reset(probeInterval)
		case <-relay.C:
			if r, ok := s.plan.next(time.Now()); ok && s.active[r] == nil && s.count(true) < maxRelayed {
				s.start(ctx, r, done)
			}
		case found := <-s.results:
			switch {
			case found.opened:
				s.plan.opened(time.Now(), found.probe.route)
			case found.answered:
				s.answered(ctx, found, done)
			case found.err == nil:
				return found.probe
			default:
				if s.probeFailed(found.probe); !found.probe.route.isRelayed() {
					next.Reset(time.Duration(rand.Int64N(int64(maxRetryDelay))))
				}
			}
		}
	}
}

// answered asks the leader that a controller named, on the same path as that controller.
func (s *search[In, Out]) answered(ctx context.Context, found finding[In, Out], done <-chan struct{}) {
	named := route{controller: found.named, relay: found.probe.route.relay}
	if !named.isRelayed() {
		s.plan.answered(time.Now(), found.named)
	}
	if s.active[named] == nil && time.Since(s.failed[named]) > namedAgainAfter {
		s.start(ctx, named, done)
	}
}

func (s *search[In, Out]) probeFailed(p *probe[In, Out]) {
	p.close()
	delete(s.active, p.route)
	s.failed[p.route] = time.Now()
	if p.route.isRelayed() {
		s.plan.failed(time.Now())
	}
}

// recent returns the number of direct streams that were opened within recentProbe.
func (s *search[In, Out]) recent() int {
	count := 0
	for _, each := range s.active {
		if !each.route.isRelayed() && time.Since(each.startAt) < recentProbe {
			count++
		}
	}
	return count
}

// count returns the number of streams that pass, or do not pass, through relays.
func (s *search[In, Out]) count(relayed bool) int {
	count := 0
	for r := range s.active {
		if r.isRelayed() == relayed {
			count++
		}
	}
	return count
}

func (s *search[In, Out]) isActive(addr netip.AddrPort) bool {
	return s.active[route{controller: addr}] != nil
}

// start asks a controller in a goroutine of its own, which reports what it finds until done is closed.
func (s *search[In, Out]) start(ctx context.Context, r route, done <-chan struct{}) {
	if !r.controller.IsValid() {
		return
	}
	p := newProbe[In, Out](ctx, r)
	s.active[r] = p
	report := func(found finding[In, Out]) {
		select {
		case s.results <- found:
		case <-done:
		}
	}
	s.group.Go(func() error {
		err := p.open(s.locator)
		if err == nil {
			report(finding[In, Out]{probe: p, opened: true})
			err = p.awaitLeader(s.locator, func(leader netip.AddrPort) {
				report(finding[In, Out]{probe: p, answered: true, named: leader})
			})
		}
		report(finding[In, Out]{probe: p, err: err})
		return nil
	})
}
