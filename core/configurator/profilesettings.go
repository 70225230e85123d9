package configurator

import (
	"time"

	"oleandertally/core/specifier"
)

// ProfileSettings are the content of a profile file, with which an operator changes profiles and teams.
type ProfileSettings struct {
	Profiles       []specifier.Profile `yaml:"Profiles"`
	Teams          []specifier.Team    `yaml:"Teams"`
	RemoveProfiles []string            `yaml:"RemoveProfiles"` // names of profiles
	RemoveTeams    []string            `yaml:"RemoveTeams"`    // names of teams
}

func (s *ProfileSettings) setDefaults() {}

func (s *ProfileSettings) resolve(string) {}

func (s *ProfileSettings) check(c checker) {
	if len(s.Profiles)+len(s.Teams)+len(s.RemoveProfiles)+len(s.RemoveTeams) == 0 {
		c.add("Profiles", "missing, expected at least one profile or team")
	}
	profiles, teams := make(map[string]string), make(map[string]string)
	for i, profile := range s.Profiles {
		at := c.item("Profiles", i)
		checkProfile(at, profile)
		checkUnique(at, profile.Name, profiles)
	}
	for i, team := range s.Teams {
		at := c.item("Teams", i)
		at.name("Name", team.Name)
		inRange(at, "Share", team.Share, 0, 1000)
		at.rejectZero("Share", team.Share == 0)
		checkUnique(at, team.Name, teams)
	}
	checkRemoved(c, "RemoveProfiles", s.RemoveProfiles, profiles)
	checkRemoved(c, "RemoveTeams", s.RemoveTeams, teams)
}

// checkRemoved checks the names to remove. named maps the names that occur earlier in the file to the
// path where each occurs.
func checkRemoved(c checker, field string, names []string, named map[string]string) {
	for i, name := range names {
		at := c.item(field, i)
		at.name("", name)
		if first, ok := named[name]; ok && name != "" {
			at.add("", "%s is already named by %s", quote(name), first)
		}
		named[name] = at.prefix
	}
}

func checkProfile(c checker, p specifier.Profile) {
	c.name("Name", p.Name)
	c.name("Service", p.Service)
	inRange(c, "MaxTimeLeft", p.MaxTimeLeft, 0, specifier.MaxTimeLeft)
	inRange(c, "TypicalTime", p.TypicalTime, 0, specifier.MaxTimeLeft)
	inRange(c, "QueueBound", p.QueueBound, 0, 1_000_000)
	inRange(c, "RetryBudget", p.RetryBudget, 0, 1)
	inRange(c, "Priority", p.Priority, 0, 9)
	inRange(c, "LongShare", p.LongShare, 0, 1)
	inRange(c, "BreakerAfter", p.BreakerAfter, 0, 1000)
	c.rejectZero("MaxTimeLeft", p.MaxTimeLeft == time.Duration(0))
	c.rejectZero("QueueBound", p.QueueBound == 0)
	c.rejectZero("RetryBudget", p.RetryBudget == 0)
	c.rejectZero("LongShare", p.LongShare == 0)
	c.rejectZero("BreakerAfter", p.BreakerAfter == 0)
}

// rejectZero reports an explicit zero in the file: it would select the default, which is rarely what
// the author expects.
func (c checker) rejectZero(field string, zero bool) {
	if zero && c.present(field) {
		c.add(field, "0 means the default; leave the key out instead")
	}
}
