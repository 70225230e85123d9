package replicator

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Settings are the same on every server of a cluster.
type Settings struct {
	Heartbeat       time.Duration // between two heartbeats to an idle peer
	Lease           time.Duration // how long a majority's acknowledgement lets the leader answer
	ElectionTimeout time.Duration // least silence of the leader before a follower votes for another
	MaxEntry        int           // bytes of one proposal
	MaxAppend       int           // bytes of entries in one message
	MaxInflight     int           // messages with entries sent to a peer and not acknowledged
	MaxPending      int           // bytes of proposals that wait or are not committed
	SnapshotEvery   int           // entries applied between two snapshots
	KeepEntries     int           // entries kept before a snapshot for followers that are a little behind
}

// Defaults suit links of a few milliseconds between availability zones and disks that sync in several milliseconds.
func Defaults() Settings {
	return Settings{
		Heartbeat:       200 * time.Millisecond,
		Lease:           800 * time.Millisecond,  // survives the loss of two heartbeats in a row
		ElectionTimeout: 1200 * time.Millisecond, // clocks may differ in rate by a third before leases overlap
		MaxEntry:        1 << 20,
		MaxAppend:       256 << 10,
		MaxInflight:     16,
		MaxPending:      16 << 20,
		SnapshotEvery:   20_000,
		KeepEntries:     5_000,
	}
}

// Check returns an error that names the first setting that is out of range.
func (s Settings) Check() error {
	switch {
	case s.Heartbeat <= 0:
		return errors.Newf("Heartbeat: got %v, expected more than 0", s.Heartbeat)
	case s.Lease < 2*s.Heartbeat:
		return errors.Newf("Lease: got %v, expected at least two heartbeats (%v)", s.Lease, 2*s.Heartbeat)
	case s.ElectionTimeout <= s.Lease:
		return errors.Newf("ElectionTimeout: got %v, expected more than the lease (%v)", s.ElectionTimeout, s.Lease)
	}
	for _, bound := range []struct {
		name  string
		value int
	}{
		{"MaxEntry", s.MaxEntry}, {"MaxAppend", s.MaxAppend}, {"MaxInflight", s.MaxInflight},
		{"MaxPending", s.MaxPending}, {"SnapshotEvery", s.SnapshotEvery},
	} {
		if bound.value < 1 {
			return errors.Newf("%s: got %d, expected at least 1", bound.name, bound.value)
		}
	}
	if s.KeepEntries < 0 {
		return errors.Newf("KeepEntries: got %d, expected at least 0", s.KeepEntries)
	}
	return nil
}
