package configurator

import "net/netip"

// EntrySettings are the settings of one entry.
type EntrySettings struct {
	ProcessSettings
	HTTPAddr    netip.AddrPort   `yaml:"HttpAddr"` // HTTP address for callers
	PeerAddr    netip.AddrPort   `yaml:"PeerAddr"` // gRPC address that other processes connect to
	Controllers []netip.AddrPort `yaml:"Controllers"`
	Limits      EntryLimits      `yaml:"Limits"`
}

func (s *EntrySettings) setDefaults() {
	s.ProcessSettings.setDefaults()
	s.Limits.setDefaults()
}

func (s *EntrySettings) check(c checker) {
	s.checkOwn(c, &listeners{})
	s.checkSecurity(c)
	c.dialAddrs("Controllers", s.Controllers)
}

func (s *EntrySettings) checkSecurity(c checker) {
	s.Security.check(c.at("Security"))
	s.Security.checkRequired(c.at("Security"), "Teams", s.Security.Teams)
}

// checkOwn checks all keys except Security and Controllers, which a deployment can supply.
func (s *EntrySettings) checkOwn(c checker, used *listeners) {
	s.ProcessSettings.check(c)
	c.addr("HttpAddr", s.HTTPAddr)
	c.dialAddr("PeerAddr", s.PeerAddr)
	s.Limits.check(c.at("Limits"))
	used.add(c, "HttpAddr", s.PeerAddr, s.HTTPAddr)
	used.add(c, "PeerAddr", s.PeerAddr, s.PeerAddr)
	used.add(c, "MetricsAddr", s.PeerAddr, s.MetricsAddr)
}
