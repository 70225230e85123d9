package main

import (
	"maps"
	"slices"

	"oleandertally/core/configurator"
	"oleandertally/core/specifier"
)

// changeFile is configurator.ProfileSettings with tags that omit empty lists when tally writes it.
type changeFile struct {
	Profiles       []specifier.Profile `yaml:"Profiles,omitempty"`
	Teams          []specifier.Team    `yaml:"Teams,omitempty"`
	RemoveProfiles []string            `yaml:"RemoveProfiles,omitempty"`
	RemoveTeams    []string            `yaml:"RemoveTeams,omitempty"`
}

// parseChangeFile parses a file. Its error lists all invalid values.
func parseChangeFile(name string, data []byte) (changeFile, error) {
	settings, err := configurator.Parse[configurator.ProfileSettings](name, data)
	if err != nil {
		return changeFile{}, fail(exitRejected, "", "%v", err)
	}
	return changeFile(settings), nil
}

// applyTo returns a copy of configuration with the changes of the file, without a revision.
func (f changeFile) applyTo(configuration specifier.Configuration) specifier.Configuration {
	next := specifier.Configuration{Profiles: maps.Clone(configuration.Profiles), Teams: maps.Clone(configuration.Teams)}
	for _, profile := range f.Profiles {
		next.Profiles[profile.Name] = profile
	}
	for _, team := range f.Teams {
		next.Teams[team.Name] = team
	}
	for _, name := range f.RemoveProfiles {
		delete(next.Profiles, name)
	}
	for _, name := range f.RemoveTeams {
		delete(next.Teams, name)
	}
	return next
}

// newChangeFile returns a file with every profile and team of configuration, sorted by name.
func newChangeFile(configuration specifier.Configuration) changeFile {
	var file changeFile
	for _, name := range slices.Sorted(maps.Keys(configuration.Profiles)) {
		file.Profiles = append(file.Profiles, configuration.Profiles[name])
	}
	for _, name := range slices.Sorted(maps.Keys(configuration.Teams)) {
		file.Teams = append(file.Teams, configuration.Teams[name])
	}
	return file
}

// changeBetween returns the change that turns now into target.
func changeBetween(now, target specifier.Configuration) changeFile {
	var file changeFile
	for _, profile := range newChangeFile(target).Profiles {
		if current, ok := now.Profiles[profile.Name]; !ok || current != profile {
			file.Profiles = append(file.Profiles, profile)
		}
	}
	for _, team := range newChangeFile(target).Teams {
		if current, ok := now.Teams[team.Name]; !ok || current != team {
			file.Teams = append(file.Teams, team)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(now.Profiles)) {
		if _, ok := target.Profiles[name]; !ok {
			file.RemoveProfiles = append(file.RemoveProfiles, name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(now.Teams)) {
		if _, ok := target.Teams[name]; !ok {
			file.RemoveTeams = append(file.RemoveTeams, name)
		}
	}
	return file
}

func (f changeFile) isEmpty() bool {
	return len(f.Profiles)+len(f.Teams)+len(f.RemoveProfiles)+len(f.RemoveTeams) == 0
}
