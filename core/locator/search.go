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

	group   errgroup.Group
	results chan finding[In, Out]
	active  map[netip.AddrPort]*probe[In, Out]
	failed  map[netip.AddrPort]time.Time
}

// run returns an open stream to the leader, or nil once ctx ends.
func (s *search[In, Out]) run(ctx context.Context) *probe[In, Out] {
	s.results = make(chan finding[In, Out])
	s.active, s.failed = make(map[netip.AddrPort]*probe[In, Out]), make(map[netip.AddrPort]time.Time)
	done := make(chan struct{})
	leader := s.find(ctx, done)
	close(done)
	if leader != nil {
		delete(s.active, leader.addr)
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
	next := time.NewTimer(0)
	defer next.Stop()
	s.start(ctx, s.first, done)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-next.C:
			if s.recent() < maxProbes && len(s.active) < maxStreams {
				s.start(ctx, s.locator.pick(s.isActive), done)
			}
			next.Reset(probeInterval)
		case found := <-s.results:
			switch {
			case found.named.IsValid():
				if !s.isActive(found.named) && time.Since(s.failed[found.named]) > namedAgainAfter {
					s.start(ctx, found.named, done)
				}
			case found.err == nil:
				return found.probe
			default:
				found.probe.close()
				delete(s.active, found.probe.addr)
				s.failed[found.probe.addr] = time.Now()
				next.Reset(time.Duration(rand.Int64N(int64(maxRetryDelay))))
			}
		}
	}
}

// recent returns the number of streams that were opened within recentProbe.
func (s *search[In, Out]) recent() int {
	count := 0
	for _, each := range s.active {
		if time.Since(each.startAt) < recentProbe {
			count++
		}
	}
	return count
}

func (s *search[In, Out]) isActive(addr netip.AddrPort) bool { return s.active[addr] != nil }

// start asks a controller in a goroutine of its own, which reports what it finds until done is closed.
func (s *search[In, Out]) start(ctx context.Context, addr netip.AddrPort, done <-chan struct{}) {
	if !addr.IsValid() {
		return
	}
	p := newProbe[In, Out](ctx, addr)
	s.active[addr] = p
	report := func(found finding[In, Out]) {
		select {
		case s.results <- found:
		case <-done:
		}
	}
	s.group.Go(func() error {
		err := p.open(s.locator)
		if err == nil {
			err = p.awaitLeader(s.locator, func(leader netip.AddrPort) { report(finding[In, Out]{probe: p, named: leader}) })
		}
		report(finding[In, Out]{probe: p, err: err})
		return nil
	})
}
