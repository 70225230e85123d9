package coordinator

import (
	"maps"
	"slices"
	"time"

	"oleandertally/core/specifier"
	"oleandertally/dispatch/limiter"
)

// sharesGranted passes the granted slots to the scheduler as leases.
func (c *Coordinator) sharesGranted(now time.Time, e SharesGranted) {
	for _, share := range e.Shares {
		lease := limiter.Lease{Until: e.Until, Contended: share.Contended, Slots: make(map[string]float64, len(share.Teams))}
		for _, team := range share.Teams {
			lease.Slots[team.Team] = team.Slots
		}
		c.Scheduler.SetLease(now, share.Service, lease)
	}
}

// reportNeeds requests the slots that each team could use of each service. Without teams no slots are limited.
func (c *Coordinator) reportNeeds() {
	if len(c.configuration.Teams) == 0 {
		return
	}
	services := make(map[string]bool)
	for _, profile := range c.configuration.Profiles {
		services[profile.Service] = true
	}
	var needs []specifier.ServiceShare
	for _, service := range slices.Sorted(maps.Keys(services)) {
		need := specifier.ServiceShare{Service: service}
		teams := c.Scheduler.Need(service)
		for _, team := range slices.Sorted(maps.Keys(teams)) {
			need.Teams = append(need.Teams, specifier.TeamSlots{Team: team, Slots: teams[team]})
		}
		needs = append(needs, need)
	}
	c.actions = append(c.actions, RequestShares{Needs: needs})
}
