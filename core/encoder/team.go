package encoder

import "oleandertally/core/specifier"

// EncodeTeam copies every field.
func EncodeTeam(t specifier.Team) *Team { return &Team{Name: t.Name, Share: t.Share} }

// DecodeTeam applies specifier.Team.Check.
func DecodeTeam(m *Team) (specifier.Team, error) {
	c := &checker{}
	team := c.team("Team", m)
	return team, c.err()
}

func (c *checker) team(path string, m *Team) specifier.Team {
	team := c.rawTeam(path, m)
	if m != nil {
		c.problems.Merge(path, team.Check())
	}
	return team
}

func (c *checker) rawTeam(path string, m *Team) specifier.Team {
	if !c.require(path, m != nil) {
		return specifier.Team{}
	}
	return specifier.Team{Name: c.text(path+".Name", m.Name, specifier.MaxName), Share: m.Share}
}
