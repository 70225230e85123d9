package configurator

import (
	"net/netip"
	"time"

	"oleandertally/core/specifier"
)

// ControllerSettings are the settings of one controller.
type ControllerSettings struct {
	ProcessSettings
	Addr            netip.AddrPort `yaml:"Addr"`            // gRPC; every other process connects to it
	DataFolder      string         `yaml:"DataFolder"`      // holds every file of the controller
	Peers           []PeerSettings `yaml:"Peers"`           // the initial members
	Heartbeat       time.Duration  `yaml:"Heartbeat"`       // leader to followers
	LeaderLease     time.Duration  `yaml:"LeaderLease"`     // a leader that hears no majority for this long answers nothing
	ElectionTimeout time.Duration  `yaml:"ElectionTimeout"` // a follower that hears no leader for this long asks for votes
	MemberLease     time.Duration  `yaml:"MemberLease"`     // an entry or agent that does not renew for this long is down
	MaxSubmissions  int            `yaml:"MaxSubmissions"`  // submission records held
	MaxBatch        int            `yaml:"MaxBatch"`        // proposals in one log write
	SnapshotAfter   int            `yaml:"SnapshotAfter"`   // log entries between two snapshots
}

// maxControllers is the number of hosts that may be set aside for control.
const maxControllers = 7

func (s *ControllerSettings) setDefaults() {
	s.ProcessSettings.setDefaults()
	s.Heartbeat = 100 * time.Millisecond
	s.LeaderLease = 700 * time.Millisecond
	s.ElectionTimeout = time.Second
	s.MemberLease = 3 * time.Second
	s.MaxSubmissions = 1_000_000
	s.MaxBatch = 1_000
	s.SnapshotAfter = 100_000
}

func (s *ControllerSettings) resolve(folder string) {
	s.ProcessSettings.resolve(folder)
	resolvePath(&s.DataFolder, folder)
}

func (s *ControllerSettings) check(c checker) {
	s.checkOwn(c, &listeners{})
	s.checkSecurity(c)
	s.checkPeers(c)
}

func (s *ControllerSettings) checkSecurity(c checker) {
	s.Security.check(c.at("Security"))
	s.Security.checkNeeded(c.at("Security"), "Operators", s.Security.Operators)
	if c.present("Security.Teams") {
		c.add("Security.Teams", "has no effect at a controller")
	}
}

// checkOwn checks the keys that a deployment does not supply.
func (s *ControllerSettings) checkOwn(c checker, used *listeners) {
	s.ProcessSettings.check(c)
	c.dialed("Addr", s.Addr)
	c.text("DataFolder", s.DataFolder, "a folder")
	s.checkTimes(c)
	inRange(c, "MaxSubmissions", s.MaxSubmissions, 1_000, specifier.MaxSubmissions)
	inRange(c, "MaxBatch", s.MaxBatch, 1, specifier.MaxBatch)
	inRange(c, "SnapshotAfter", s.SnapshotAfter, 100, 10_000_000)
	used.add(c, "Addr", s.Addr, s.Addr)
	used.add(c, "MetricsAddr", s.Addr, s.MetricsAddr)
}

func (s *ControllerSettings) checkTimes(c checker) {
	inRange(c, "Heartbeat", s.Heartbeat, 10*time.Millisecond, 10*time.Second)
	inRange(c, "LeaderLease", s.LeaderLease, 50*time.Millisecond, time.Minute)
	inRange(c, "ElectionTimeout", s.ElectionTimeout, 100*time.Millisecond, time.Minute)
	inRange(c, "MemberLease", s.MemberLease, 500*time.Millisecond, time.Minute)
	if s.LeaderLease < 2*s.Heartbeat {
		c.add("LeaderLease", "%v, expected at least twice Heartbeat (%v), or one lost message ends it", s.LeaderLease, s.Heartbeat)
	}
	if s.ElectionTimeout <= s.LeaderLease {
		c.add("ElectionTimeout", "%v, expected more than LeaderLease (%v), or two leaders can answer at once",
			s.ElectionTimeout, s.LeaderLease)
	}
}

func (s *ControllerSettings) checkPeers(c checker) {
	if len(s.Peers) == 0 || len(s.Peers) > maxControllers {
		c.add("Peers", "has %d items, expected 1 to %d", len(s.Peers), maxControllers)
	}
	names := make(map[string]bool)
	addrs := make(map[netip.AddrPort]bool)
	for i, peer := range s.Peers {
		at := c.item("Peers", i)
		at.name("Name", peer.Name)
		at.dialed("Addr", peer.Addr)
		if names[peer.Name] && peer.Name != "" {
			at.add("Name", "%s is listed twice", quote(peer.Name))
		}
		if addrs[unmap(peer.Addr)] && peer.Addr.IsValid() {
			at.add("Addr", "%s is listed twice", peer.Addr)
		}
		if peer.Name == s.Name && peer.Addr.IsValid() && s.Addr.IsValid() && unmap(peer.Addr) != unmap(s.Addr) {
			at.add("Addr", "%s differs from Addr of this controller, %s", peer.Addr, s.Addr)
		}
		names[peer.Name], addrs[unmap(peer.Addr)] = true, true
	}
}
