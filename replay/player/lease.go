package player

import (
	"time"

	"oleandertally/core/specifier"
	"oleandertally/dispatch/limiter"
)

const (
	// leaseTerm and renewEvery are those of the entries' own leases: renewed at a third of the term.
	leaseTerm  = 3 * time.Second
	renewEvery = time.Second
)

// startLessor renews the leases of all entries while jobs arrive.
func (p *Player) startLessor(teams map[string]specifier.Team) {
	if len(teams) == 0 || !p.variant.Leases {
		return
	}
	lessor := &limiter.Lessor[int]{Slots: workers * slots, LeaseDuration: leaseTerm}
	lessor.SetTeams(teams)
	for _, e := range p.entries {
		// Entries renew at different times.
		p.time.after(time.Duration(e.index)*renewEvery/time.Duration(len(p.entries)), func() { p.renew(lessor, e) })
	}
}

func (p *Player) renew(lessor *limiter.Lessor[int], e *entry) {
	need := e.scheduler.Need(service)
	p.time.after(crossDelay, func() {
		lease := lessor.Renew(p.time.now, e.index, need)
		p.time.after(crossDelay, func() { e.scheduler.SetLease(p.time.now, service, lease) })
	})
	if p.time.elapsed() < p.trace.Length() {
		p.time.after(renewEvery, func() { p.renew(lessor, e) })
	}
}
