package configurator

import (
	"net/netip"
	"time"

	"oleandertally/core/specifier"
)

// ControllerSettings are the settings of one controller.
type ControllerSettings struct {
	ProcessSettings
	Addr            netip.AddrPort `yaml:"Addr"`            // gRPC address that every other process connects to
	DataFolder      string         `yaml:"DataFolder"`      // folder for all files that the controller writes
	Peers           []PeerSettings `yaml:"Peers"`           // initial members of the controller group
	Heartbeat       time.Duration  `yaml:"Heartbeat"`       // interval of the leader's messages to followers
	LeaderLease     time.Duration  `yaml:"LeaderLease"`     // a leader stops answering when no majority has replied for this long
	ElectionTimeout time.Duration  `yaml:"ElectionTimeout"` // a follower starts an election when no leader has sent anything for this long
	MemberLease     time.Duration  `yaml:"MemberLease"`     // an entry or agent that has not renewed for this long counts as down
	MaxSubmissions  int            `yaml:"MaxSubmissions"`  // limit of stored submission records
	MaxBatch        int            `yaml:"MaxBatch"`        // limit of proposals in one write to the log
	SnapshotAfter   int            `yaml:"SnapshotAfter"`   // number of log entries between two snapshots
	DiskLimit       ByteSize       `yaml:"DiskLimit"`       // room for DataFolder; 0 for no limit
}

// maxControllers is the largest number of hosts that may be reserved for controllers.
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
	s.Security.checkRequired(c.at("Security"), "Operators", s.Security.Operators)
	if c.present("Security.Teams") {
		c.add("Security.Teams", "has no effect at a controller")
	}
}

// checkOwn checks all keys except Security and Peers, which a deployment can supply.
func (s *ControllerSettings) checkOwn(c checker, used *listeners) {
	s.ProcessSettings.check(c)
	c.dialAddr("Addr", s.Addr)
	c.text("DataFolder", s.DataFolder, "a folder")
	s.checkTimes(c)
	inRange(c, "MaxSubmissions", s.MaxSubmissions, 1_000, specifier.MaxSubmissions)
	inRange(c, "MaxBatch", s.MaxBatch, 1, specifier.MaxBatch)
	inRange(c, "SnapshotAfter", s.SnapshotAfter, 100, 10_000_000)
	if s.DiskLimit != 0 {
		inRange(c, "DiskLimit", s.DiskLimit, 64*Mebibyte, 1024*Gibibyte)
	}
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
		at.dialAddr("Addr", peer.Addr)
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
