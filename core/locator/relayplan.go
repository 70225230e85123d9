package locator

import (
	"net/netip"
	"time"
)

const (
	// relayDelay is how long a search asks the controllers directly before it tries a relay.
	relayDelay = 150 * time.Millisecond
	// namedDelay is the same while a controller that can be reached names a leader that can't. It is longer than an election, in
	// which the followers still name the lost leader.
	namedDelay = 400 * time.Millisecond
	// answerSpan is how long a controller that can be reached and knows no leader, or is itself named as the leader, keeps the search
	// from trying relays: the controllers are then electing one, or the new one is busy with all its clients.
	answerSpan = 600 * time.Millisecond
	// electionSpan is longer than most elections. Controllers that know no leader for longer may be cut off from it themselves.
	electionSpan = 700 * time.Millisecond
	// relayInterval is the time between the first quickAttempts through relays, and slowInterval the time between others.
	relayInterval = 250 * time.Millisecond
	slowInterval  = time.Second
	quickAttempts = 4
	// failedDelay is the wait after an attempt that failed.
	failedDelay = 20 * time.Millisecond
	// directInterval is the mean time between attempts to return to the direct path.
	directInterval = 2 * time.Second
	// directJitter is the part of directInterval by which an attempt may be earlier or later.
	directJitter = 0.25
)

// relayPlan decides during a search for the leader when to try which relay, and for which controller. It makes no attempts while the
// controllers can be reached and elect a leader, so that elections cause no more connections than without relays.
type relayPlan struct {
	relays      []netip.AddrPort // in the order in which they are tried
	leader      netip.AddrPort   // last known leader; zero for none
	controllers []netip.AddrPort
	startAt     time.Time
	hurry       bool // the search follows the loss of a relayed stream, so relays are tried at once

	answeredAt time.Time      // when a controller last answered directly or was reached; zero for never
	named      netip.AddrPort // leader that it named; zero for none
	namedAt    time.Time
	openedAt   map[netip.AddrPort]time.Time // when a direct stream to a controller was opened
	retryAt    time.Time
	attempts   int
}

// opened records that a stream was opened. A controller that can be reached directly and does not answer yet is busy.
func (p *relayPlan) opened(now time.Time, r route) {
	if r.isRelayed() {
		return
	}
	if p.openedAt == nil {
		p.openedAt = make(map[netip.AddrPort]time.Time)
	}
	p.openedAt[r.controller] = now
	if !p.named.IsValid() {
		p.answeredAt = now
	}
}

// answered records that a controller which does not lead answered directly and named a leader, or none.
func (p *relayPlan) answered(now time.Time, leader netip.AddrPort) {
	if p.named != leader {
		p.named, p.namedAt = leader, now
	}
	p.answeredAt = now
}

// due returns when the next attempt is due, or the zero time if there is no relay.
func (p *relayPlan) due() time.Time {
	if len(p.relays) == 0 || !p.leader.IsValid() && !p.named.IsValid() && len(p.controllers) == 0 {
		return time.Time{}
	}
	at := p.startAt.Add(relayDelay)
	switch {
	case p.answeredAt.IsZero() && p.hurry:
		at = p.startAt
	case p.answeredAt.IsZero():
	case p.named.IsValid():
		at = latest(p.startAt.Add(namedDelay), latest(p.namedAt.Add(relayDelay), p.openedAt[p.named].Add(answerSpan)))
	default:
		at = earliest(p.answeredAt.Add(answerSpan), p.startAt.Add(electionSpan))
	}
	return latest(at, p.retryAt)
}

// next returns the route of the attempt that is due.
func (p *relayPlan) next(now time.Time) (route, bool) {
	if due := p.due(); due.IsZero() || due.After(now) {
		return route{}, false
	}
	interval := slowInterval
	if p.isUrgent() {
		interval = relayInterval
	}
	r := route{controller: p.target(), relay: p.relays[p.attempts%len(p.relays)]}
	p.attempts++
	p.retryAt = now.Add(interval)
	return r, true
}

// target returns the leader that a controller named, or in turn the last known leader and the other controllers, because another one
// may lead by now.
func (p *relayPlan) target() netip.AddrPort {
	switch {
	case p.named.IsValid():
		return p.named
	case p.leader.IsValid() && (p.attempts%2 == 0 || len(p.controllers) == 0):
		return p.leader
	}
	return p.controllers[p.attempts/2%len(p.controllers)]
}

// failed records that an attempt through a relay failed. The first ones are followed by another soon.
func (p *relayPlan) failed(now time.Time) {
	if p.isUrgent() {
		p.retryAt = now.Add(failedDelay)
	}
}

// isUrgent reports whether attempts follow each other quickly: the first ones, unless controllers can be reached and are merely late to
// elect a leader.
func (p *relayPlan) isUrgent() bool {
	return p.attempts < quickAttempts && (p.answeredAt.IsZero() || p.named.IsValid())
}

// directAttemptDelay returns the wait before an attempt to return to the direct path, for a random fraction from 0 to 1.
func directAttemptDelay(fraction float64) time.Duration {
	return time.Duration(float64(directInterval) * (1 - directJitter + 2*directJitter*fraction))
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
