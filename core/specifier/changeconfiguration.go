package specifier

import (
	"fmt"
	"maps"
)

// ChangeConfiguration sets or removes profiles and teams. The operator prepared the change on the
// basis of revision From. A resend with the same RequestID gets the first decision again.
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

// Digest identifies the content of the change, without the request ID.
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

// Check returns every problem of applying the change to the current configuration, or nil.
func (c ChangeConfiguration) Check(current Configuration) *Problems {
	found := &Problems{}
	found.Name("RequestId", c.RequestID)
	found.Name("Operator", c.Operator)
	if len(c.Profiles)+len(c.Teams)+len(c.RemoveProfiles)+len(c.RemoveTeams) == 0 {
		found.Add("Profiles", "nor Teams, RemoveProfiles or RemoveTeams name anything, expected a change")
	}
	profiles := checkItems(found, "Profiles", c.Profiles, func(p Profile) string { return p.Name })
	checkRemovals(found, "RemoveProfiles", c.RemoveProfiles, profiles, current.Profiles)
	teams := checkItems(found, "Teams", c.Teams, func(t Team) string { return t.Name })
	checkRemovals(found, "RemoveTeams", c.RemoveTeams, teams, current.Teams)
	next := c.Apply(current)
	checkRange(found, "Profiles", len(next.Profiles), 0, MaxProfiles)
	checkRange(found, "Teams", len(next.Teams), 0, MaxTeams)
	return found.OrNil()
}

// Apply returns the next configuration and does not modify current. The change must have passed Check.
func (c ChangeConfiguration) Apply(current Configuration) Configuration {
	next := Configuration{Revision: current.Revision + 1, Profiles: make(map[string]Profile), Teams: make(map[string]Team)}
	maps.Copy(next.Profiles, current.Profiles)
	maps.Copy(next.Teams, current.Teams)
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

// checkItems checks the items of a list and returns their names.
func checkItems[T interface{ Check() *Problems }](found *Problems, field string, items []T, name func(T) string) map[string]bool {
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

// checkRemovals checks that each name exists and that the change neither sets it nor removes it twice.
func checkRemovals[T any](found *Problems, field string, names []string, set map[string]bool, current map[string]T) {
	seen := make(map[string]bool, len(names))
	for i, name := range names {
		path := indexed(field, i)
		if _, exists := current[name]; !exists {
			found.Add(path, "%.64q does not exist", name)
		}
		if set[name] || seen[name] {
			found.Add(path, "%.64q is named twice by the change", name)
		}
		seen[name] = true
	}
}
