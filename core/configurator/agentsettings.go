package configurator

import "net/netip"

// AgentSettings are the settings of one agent.
type AgentSettings struct {
	ProcessSettings
	Service        string           `yaml:"Service"`      // service that the upstream provides
	AgentAddr      netip.AddrPort   `yaml:"AgentAddr"`    // gRPC address that entries connect to
	AnnounceAddr   netip.AddrPort   `yaml:"AnnounceAddr"` // loopback HTTP address where the upstream announces itself
	Controllers    []netip.AddrPort `yaml:"Controllers"`
	MaxConnections int              `yaml:"MaxConnections"` // limit of connections to the upstream
	MaxQueue       int              `yaml:"MaxQueue"`       // limit of tasks that wait for a free slot of the upstream
}

func (s *AgentSettings) setDefaults() {
	s.ProcessSettings.setDefaults()
	s.MaxConnections = 64
	s.MaxQueue = 16
}

func (s *AgentSettings) check(c checker) {
	s.checkOwn(c, &listeners{})
	s.checkSecurity(c)
	c.dialAddrs("Controllers", s.Controllers)
}

func (s *AgentSettings) checkSecurity(c checker) {
	s.Security.check(c.at("Security"))
	if c.present("Security.Teams") {
		c.add("Security.Teams", "has no effect at an agent")
	}
}

// checkOwn checks all keys except Security and Controllers, which a deployment can supply.
func (s *AgentSettings) checkOwn(c checker, used *listeners) {
	s.ProcessSettings.check(c)
	c.name("Service", s.Service)
	c.dialAddr("AgentAddr", s.AgentAddr)
	c.addr("AnnounceAddr", s.AnnounceAddr)
	if s.AnnounceAddr.IsValid() && !s.AnnounceAddr.Addr().IsLoopback() {
		// An announcement names the address to which tasks are sent, so only processes on the
		// same host may send one.
		c.add("AnnounceAddr", "%s is not a loopback address, expected one such as 127.0.0.1:7203", s.AnnounceAddr)
	}
	inRange(c, "MaxConnections", s.MaxConnections, 1, 10_000)
	inRange(c, "MaxQueue", s.MaxQueue, 0, 10_000)
	used.add(c, "AgentAddr", s.AgentAddr, s.AgentAddr)
	used.add(c, "AnnounceAddr", s.AgentAddr, s.AnnounceAddr)
	used.add(c, "MetricsAddr", s.AgentAddr, s.MetricsAddr)
}
