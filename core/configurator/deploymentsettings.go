package configurator

import "net/netip"

// DeploymentSettings list every process of a site. A process without Security inherits that of the
// deployment; one without Controllers or Peers uses the controllers of the deployment.
type DeploymentSettings struct {
	Security    SecuritySettings     `yaml:"Security"`
	Controllers []ControllerSettings `yaml:"Controllers"`
	Entries     []EntrySettings      `yaml:"Entries"`
	Agents      []AgentSettings      `yaml:"Agents"`
}

// Controller returns the settings of the controller called name.
func (s *DeploymentSettings) Controller(name string) (ControllerSettings, bool) {
	return findByName(s.Controllers, name, func(c ControllerSettings) string { return c.Name })
}

// Entry returns the settings of the entry called name.
func (s *DeploymentSettings) Entry(name string) (EntrySettings, bool) {
	return findByName(s.Entries, name, func(e EntrySettings) string { return e.Name })
}

// Agent returns the settings of the agent called name.
func (s *DeploymentSettings) Agent(name string) (AgentSettings, bool) {
	return findByName(s.Agents, name, func(a AgentSettings) string { return a.Name })
}

func findByName[S any](list []S, name string, nameOf func(S) string) (S, bool) {
	for _, item := range list {
		if nameOf(item) == name {
			return item, true
		}
	}
	var zero S
	return zero, false
}

func (s *DeploymentSettings) setDefaults() {}

func (s *DeploymentSettings) resolve(folder string) {
	s.Security.resolve(folder)
	for i := range s.Controllers {
		s.Controllers[i].resolve(folder)
	}
	for i := range s.Entries {
		s.Entries[i].resolve(folder)
	}
	for i := range s.Agents {
		s.Agents[i].resolve(folder)
	}
}

func (s *DeploymentSettings) check(c checker) {
	peers, addrs := s.listControllers()
	d := deploymentCheck{checker: c, security: s.Security, names: make(map[string]string)}
	for i := range s.Controllers {
		d.controller(c.item("Controllers", i), &s.Controllers[i], peers)
	}
	for i := range s.Entries {
		d.entry(c.item("Entries", i), &s.Entries[i], addrs)
	}
	for i := range s.Agents {
		d.agent(c.item("Agents", i), &s.Agents[i], addrs)
	}
	d.finish()
	s.checkCounts(c)
}

// listControllers returns the controllers of the deployment as peers and as addresses.
func (s *DeploymentSettings) listControllers() ([]PeerSettings, []netip.AddrPort) {
	var peers []PeerSettings
	var addrs []netip.AddrPort
	for _, controller := range s.Controllers {
		peers = append(peers, PeerSettings{controller.Name, controller.Addr})
		addrs = append(addrs, controller.Addr)
	}
	return peers, addrs
}

func (s *DeploymentSettings) checkCounts(c checker) {
	if count := len(s.Controllers); count == 0 || count > maxControllers {
		c.add("Controllers", "has %d items, expected 1 to %d", count, maxControllers)
	}
	if len(s.Entries) == 0 {
		c.add("Entries", "missing, expected at least one entry")
	}
	if len(s.Agents) == 0 {
		c.add("Agents", "missing, expected at least one agent")
	}
}
