package registrar

import (
	"fmt"
	"maps"

	"oleandertally/core/specifier"
)

func (r *Registrar) change(c specifier.ChangeConfiguration) specifier.Decision {
	if first, ok := r.requests[c.RequestID]; ok {
		return first
	}
	if c.From != r.configuration.Revision {
		return specifier.Decision{Verdict: specifier.Conflict, Operator: r.changed,
			Detail: fmt.Sprintf("made from revision %d, but %d is in force", c.From, r.configuration.Revision)}
	}
	next := specifier.Configuration{
		Revision: r.configuration.Revision + 1,
		Profiles: maps.Clone(r.configuration.Profiles),
		Teams:    maps.Clone(r.configuration.Teams),
	}
	for _, profile := range c.Profiles {
		next.Profiles[profile.Name] = profile
	}
	for _, name := range c.RemoveProfiles {
		delete(next.Profiles, name)
	}
	for _, team := range c.Teams {
		next.Teams[team.Name] = team
	}
	for _, name := range c.RemoveTeams {
		delete(next.Teams, name)
	}
	r.configuration = next
	r.changed = c.Operator
	decision := specifier.Decision{Verdict: specifier.Applied, Revision: next.Revision}
	r.requests[c.RequestID] = decision
	return decision
}
