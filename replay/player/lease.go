package player

import (
	"time"

	"oleandertally/core/specifier"
	"oleandertally/dispatch/limiter"
)

const (
	// leaseDuration and renewInterval equal those of the leases that entries use. A lease is renewed after a third of its duration.
	leaseDuration = 3 * time.Second
	renewInterval = time.Second
)

// startLessor starts a lessor that divides the slots, and makes all entries renew their leases while jobs arrive.
func (p *Player) startLessor(teams map[string]specifier.Team) {
	if len(teams) == 0 || !p.variant.Leases {
		return
	}
	lessor := &limiter.Lessor[int]{Slots: workers * slots, LeaseDuration: leaseDuration}
	lessor.SetTeams(teams)
	for _, e := range p.entries {
		// The renewals of the entries are spread evenly over the interval.
		p.time.after(time.Duration(e.index)*renewInterval/time.Duration(len(p.entries)), func() { p.renewLease(lessor, e) })
	}
}

func (p *Player) renewLease(lessor *limiter.Lessor[int], e *entry) {
	need := e.scheduler.Need(service)
	p.time.after(crossZoneDelay, func() {
		lease := lessor.Renew(p.time.now, e.index, need)
		p.time.after(crossZoneDelay, func() { e.scheduler.SetLease(p.time.now, service, lease) })
	})
	if p.time.elapsed() < p.trace.Length() {
		p.time.after(renewInterval, func() { p.renewLease(lessor, e) })
	}
}
