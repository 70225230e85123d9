package configurator

import (
	"net/netip"
	"reflect"
)

// deploymentCheck fills in what the processes of a deployment take from it, and checks them
// together. What is taken is checked once, where it is written.
type deploymentCheck struct {
	checker  checker
	security SecuritySettings
	shared   struct{ used, teams, operators bool } // what of security processes take from the deployment
	used     listeners
	names    map[string]string // where each name stands
}

func (d *deploymentCheck) controller(c checker, s *ControllerSettings, peers []PeerSettings) {
	s.checkOwn(c, &d.used)
	checkUnique(c, s.Name, d.names)
	if inherit(&s.Security, d.security) {
		d.shared.used, d.shared.operators = true, true
	} else {
		s.checkSecurity(c)
	}
	if !inherit(&s.Peers, peers) {
		s.checkPeers(c)
	}
}

func (d *deploymentCheck) entry(c checker, s *EntrySettings, addrs []netip.AddrPort) {
	s.checkOwn(c, &d.used)
	checkUnique(c, s.Name, d.names)
	if inherit(&s.Security, d.security) {
		d.shared.used, d.shared.teams = true, true
	} else {
		s.checkSecurity(c)
	}
	if !inherit(&s.Controllers, addrs) {
		c.addrs("Controllers", s.Controllers)
	}
}

func (d *deploymentCheck) agent(c checker, s *AgentSettings, addrs []netip.AddrPort) {
	s.checkOwn(c, &d.used)
	checkUnique(c, s.Name, d.names)
	if inherit(&s.Security, d.security) {
		d.shared.used = true
	} else {
		s.checkSecurity(c)
	}
	if !inherit(&s.Controllers, addrs) {
		c.addrs("Controllers", s.Controllers)
	}
}

func (d *deploymentCheck) finish() {
	c := d.checker.at("Security")
	if d.shared.used || c.present("") {
		d.security.check(c)
	}
	if d.shared.teams {
		d.security.checkNeeded(c, "Teams", d.security.Teams)
	}
	if d.shared.operators {
		d.security.checkNeeded(c, "Operators", d.security.Operators)
	}
}

// inherit sets value to shared when it is not set, and reports whether it was not.
func inherit[V any](value *V, shared V) bool {
	if !reflect.ValueOf(value).Elem().IsZero() {
		return false
	}
	*value = shared
	return true
}

// checkUnique reports a name that an earlier item has; names maps each to where it stands.
func checkUnique(c checker, name string, names map[string]string) {
	if name == "" {
		return
	}
	if first, ok := names[name]; ok {
		c.add("Name", "%s is already used by %s", quote(name), first)
		return
	}
	names[name] = c.prefix
}
