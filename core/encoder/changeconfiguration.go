package encoder

import "oleandertally/core/specifier"

func encodeChangeConfiguration(command specifier.ChangeConfiguration) *ChangeConfiguration {
	m := &ChangeConfiguration{RequestId: command.RequestID, Operator: command.Operator, From: uint64(command.From),
		RemoveProfiles: command.RemoveProfiles, RemoveTeams: command.RemoveTeams}
	for _, profile := range command.Profiles {
		m.Profiles = append(m.Profiles, EncodeProfile(profile))
	}
	for _, team := range command.Teams {
		m.Teams = append(m.Teams, EncodeTeam(team))
	}
	return m
}

// changeConfiguration checks only sizes. The registrar checks the values and reports every
// problem in its decision, which a resend gets again.
func (c *checker) changeConfiguration(m *ChangeConfiguration) specifier.ChangeConfiguration {
	command := specifier.ChangeConfiguration{
		RequestID: c.name("ChangeConfiguration.RequestId", m.GetRequestId()),
		Operator:  c.name("ChangeConfiguration.Operator", m.GetOperator()),
		From:      specifier.Revision(m.GetFrom()),
	}
	if c.length("ChangeConfiguration.Profiles", len(m.GetProfiles()), specifier.MaxProfiles) {
		for i, item := range m.GetProfiles() {
			command.Profiles = append(command.Profiles, c.rawProfile(indexed("ChangeConfiguration.Profiles", i), item))
		}
	}
	if c.length("ChangeConfiguration.Teams", len(m.GetTeams()), specifier.MaxTeams) {
		for i, item := range m.GetTeams() {
			command.Teams = append(command.Teams, c.rawTeam(indexed("ChangeConfiguration.Teams", i), item))
		}
	}
	command.RemoveProfiles = c.names("ChangeConfiguration.RemoveProfiles", m.GetRemoveProfiles(), specifier.MaxProfiles)
	command.RemoveTeams = c.names("ChangeConfiguration.RemoveTeams", m.GetRemoveTeams(), specifier.MaxTeams)
	return command
}

func (c *checker) names(path string, names []string, limit int) []string {
	if !c.length(path, len(names), limit) {
		return nil
	}
	for i, name := range names {
		c.name(indexed(path, i), name)
	}
	return names
}
