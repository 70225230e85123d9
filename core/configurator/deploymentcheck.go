package configurator

import (
	"net/netip"
	"reflect"
)

// deploymentCheck checks the processes of a deployment together, and first fills in the settings
// that they inherit from it. Inherited settings are checked once, at the place where the file has them.
type deploymentCheck struct {
	checker   checker                               // checker of the deployment's own settings
	security  SecuritySettings                      // security settings of the deployment
	inherited struct{ used, teams, operators bool } // whether a process inherits Security, and which of its lists such processes need
	used      listeners                             // listeners of the processes checked so far
	names     map[string]string                     // path of the process that has each name
}

func (d *deploymentCheck) controller(c checker, s *ControllerSettings, peers []PeerSettings) {
	s.checkOwn(c, &d.used)
	checkUnique(c, s.Name, d.names)
	if inherit(&s.Security, d.security) {
		d.inherited.used, d.inherited.operators = true, true
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
		d.inherited.used, d.inherited.teams = true, true
	} else {
		s.checkSecurity(c)
	}
	if !inherit(&s.Controllers, addrs) {
		c.dialAddrs("Controllers", s.Controllers)
	}
}

func (d *deploymentCheck) agent(c checker, s *AgentSettings, addrs []netip.AddrPort) {
	s.checkOwn(c, &d.used)
	checkUnique(c, s.Name, d.names)
	if inherit(&s.Security, d.security) {
		d.inherited.used = true
	} else {
		s.checkSecurity(c)
	}
	if !inherit(&s.Controllers, addrs) {
		c.dialAddrs("Controllers", s.Controllers)
	}
}

// finish checks the Security of the deployment, after it is known which parts of it are inherited.
func (d *deploymentCheck) finish() {
	c := d.checker.at("Security")
	if d.inherited.used || c.present("") {
		d.security.check(c)
	}
	if d.inherited.teams {
		d.security.checkRequired(c, "Teams", d.security.Teams)
	}
	if d.inherited.operators {
		d.security.checkRequired(c, "Operators", d.security.Operators)
	}
}

// inherit sets value to shared if value is zero, and reports whether it did so.
func inherit[V any](value *V, shared V) bool {
	if !reflect.ValueOf(value).Elem().IsZero() {
		return false
	}
	*value = shared
	return true
}

// checkUnique reports a name that an earlier item already has. It records in names the path of the
// item that has each name.
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
