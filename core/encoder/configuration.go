package encoder

import (
	"maps"
	"slices"

	"oleandertally/core/specifier"
)

// EncodeConfiguration lists profiles and teams by name, so that equal configurations have equal bytes.
func EncodeConfiguration(configuration specifier.Configuration) *Configuration {
	m := &Configuration{Revision: uint64(configuration.Revision)}
	for _, name := range slices.Sorted(maps.Keys(configuration.Profiles)) {
		m.Profiles = append(m.Profiles, EncodeProfile(configuration.Profiles[name]))
	}
	for _, name := range slices.Sorted(maps.Keys(configuration.Teams)) {
		m.Teams = append(m.Teams, EncodeTeam(configuration.Teams[name]))
	}
	return m
}

// DecodeConfiguration accepts at most MaxProfiles profiles and MaxTeams teams, each name once.
func DecodeConfiguration(m *Configuration) (specifier.Configuration, error) {
	c := &checker{}
	configuration := c.configuration("Configuration", m)
	return configuration, c.err()
}

func (c *checker) configuration(path string, m *Configuration) specifier.Configuration {
	configuration := specifier.Configuration{Profiles: map[string]specifier.Profile{}, Teams: map[string]specifier.Team{}}
	if !c.require(path, m != nil) {
		return configuration
	}
	configuration.Revision = specifier.Revision(m.Revision)
	if c.length(path+".Profiles", len(m.Profiles), specifier.MaxProfiles) {
		for i, item := range m.Profiles {
			field := indexed(path+".Profiles", i)
			putUnique(c, field+".Name", configuration.Profiles, item.GetName(), c.profile(field, item))
		}
	}
	if c.length(path+".Teams", len(m.Teams), specifier.MaxTeams) {
		for i, item := range m.Teams {
			field := indexed(path+".Teams", i)
			putUnique(c, field+".Name", configuration.Teams, item.GetName(), c.team(field, item))
		}
	}
	return configuration
}

// putUnique stores value under key and reports a key that is already used.
func putUnique[K comparable, V any](c *checker, path string, values map[K]V, key K, value V) {
	if _, used := values[key]; used {
		c.problems.Add(path, "repeats %.64v", key)
		return
	}
	values[key] = value
}
