package specifier

import (
	"fmt"
	"maps"
)

// ChangeConfiguration replaces or removes profiles and teams, made from revision From. A
// resend under the same RequestID gets the first decision again.
type ChangeConfiguration struct {
	RequestID      string
	Operator       string
	From           Revision
	Profiles       []Profile
	Teams          []Team
	RemoveProfiles []string
	RemoveTeams    []string
}

func (ChangeConfiguration) command() {}

// Digest identifies everything but the request id.
func (c ChangeConfiguration) Digest() Digest {
	h := newHasher()
	h.field([]byte(c.Operator))
	h.number(uint64(c.From))
	h.number(uint64(len(c.Profiles)))
	for _, profile := range c.Profiles {
		h.field(fmt.Appendf(nil, "%#v", profile))
	}
	h.number(uint64(len(c.Teams)))
	for _, team := range c.Teams {
		h.field(fmt.Appendf(nil, "%#v", team))
	}
	h.number(uint64(len(c.RemoveProfiles)))
	for _, name := range c.RemoveProfiles {
		h.field([]byte(name))
	}
	for _, name := range c.RemoveTeams {
		h.field([]byte(name))
	}
	return h.sum()
}

// Check returns every problem of the change when it is applied to the configuration in force, or nil.
func (c ChangeConfiguration) Check(in Configuration) *Problems {
	found := &Problems{}
	found.Name("RequestId", c.RequestID)
	found.Name("Operator", c.Operator)
	if len(c.Profiles)+len(c.Teams)+len(c.RemoveProfiles)+len(c.RemoveTeams) == 0 {
		found.Add("Profiles", "nor Teams, RemoveProfiles or RemoveTeams name anything, expected a change")
	}
	profiles := named(found, "Profiles", c.Profiles, func(p Profile) string { return p.Name })
	removed(found, "RemoveProfiles", c.RemoveProfiles, profiles, in.Profiles)
	teams := named(found, "Teams", c.Teams, func(t Team) string { return t.Name })
	removed(found, "RemoveTeams", c.RemoveTeams, teams, in.Teams)
	next := c.Apply(in)
	between(found, "Profiles", len(next.Profiles), 0, MaxProfiles)
	between(found, "Teams", len(next.Teams), 0, MaxTeams)
	return found.OrNil()
}

// Apply returns the next configuration and leaves the given one as it is. The change must have passed Check.
func (c ChangeConfiguration) Apply(in Configuration) Configuration {
	next := Configuration{Revision: in.Revision + 1, Profiles: make(map[string]Profile), Teams: make(map[string]Team)}
	maps.Copy(next.Profiles, in.Profiles)
	maps.Copy(next.Teams, in.Teams)
	for _, profile := range c.Profiles {
		next.Profiles[profile.Name] = profile
	}
	for _, team := range c.Teams {
		next.Teams[team.Name] = team
	}
	for _, name := range c.RemoveProfiles {
		delete(next.Profiles, name)
	}
	for _, name := range c.RemoveTeams {
		delete(next.Teams, name)
	}
	return next
}

// named checks the items of a list and returns their names.
func named[T interface{ Check() *Problems }](found *Problems, field string, items []T, name func(T) string) map[string]bool {
	names := make(map[string]bool, len(items))
	for i, item := range items {
		found.Merge(indexed(field, i), item.Check())
		if names[name(item)] {
			found.Add(indexed(field, i)+".Name", "repeats %q", name(item))
		}
		names[name(item)] = true
	}
	return names
}

// removed checks that each name exists and is neither set nor removed again by the same change.
func removed[T any](found *Problems, field string, names []string, set map[string]bool, in map[string]T) {
	seen := make(map[string]bool, len(names))
	for i, name := range names {
		path := indexed(field, i)
		if _, known := in[name]; !known {
			found.Add(path, "%.64q does not exist", name)
		}
		if set[name] || seen[name] {
			found.Add(path, "%.64q is named twice by the change", name)
		}
		seen[name] = true
	}
}
