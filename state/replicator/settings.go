package replicator

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Settings must be the same on every server of a cluster.
type Settings struct {
	Heartbeat       time.Duration // interval between heartbeats
	Lease           time.Duration // how long the leader may answer after it sent a message that a majority acknowledged
	ElectionTimeout time.Duration // minimum time without a leader's message before a follower votes for another server
	MaxEntry        int           // maximum bytes of one proposal
	MaxAppend       int           // maximum bytes of entries in one message, unless it holds a single entry
	MaxInflight     int           // maximum unacknowledged messages with entries to one peer
	MaxPending      int           // maximum bytes of proposals that are not committed
	SnapshotEvery   int           // number of entries applied between two snapshots
	SnapshotBytes   int           // bytes of entries applied between two snapshots, when fewer than SnapshotEvery entries have them
	KeepEntries     int           // number of entries kept before a snapshot, for followers that are slightly behind
	KeepBytes       int           // maximum bytes of the entries kept before a snapshot
	// MaxLog is the number of bytes of entries beyond which a leader refuses proposals. The log then waits for a snapshot, for which the
	// disk must still have room.
	MaxLog int
	// MinVoters is the number of voters from which on their number is kept odd, so that one part of the servers keeps a majority
	// when they are split in half. The learner that is left over is promoted when a voter is lost. 0 promotes every learner.
	MinVoters int
	// StandbyTimeout is how long a voter must be silent before the learner that is left over is promoted.
	StandbyTimeout time.Duration
}

// Defaults returns settings for latencies of a few milliseconds between availability zones and disks that sync in several
// milliseconds.
func Defaults() Settings {
	return Settings{
		Heartbeat:       200 * time.Millisecond,
		Lease:           800 * time.Millisecond,  // survives the loss of two consecutive heartbeats
		ElectionTimeout: 1200 * time.Millisecond, // clock rates may differ by a third before two leases can overlap
		MaxEntry:        1 << 20,
		MaxAppend:       256 << 10,
		MaxInflight:     16,
		MaxPending:      16 << 20,
		SnapshotEvery:   20_000,
		SnapshotBytes:   64 << 20,
		KeepEntries:     5_000,
		KeepBytes:       16 << 20,
		MaxLog:          256 << 20,
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
		{"MaxPending", s.MaxPending}, {"SnapshotEvery", s.SnapshotEvery}, {"SnapshotBytes", s.SnapshotBytes},
	} {
		if bound.value < 1 {
			return errors.Newf("%s: got %d, expected at least 1", bound.name, bound.value)
		}
	}
	switch {
	case s.KeepEntries < 0:
		return errors.Newf("KeepEntries: got %d, expected at least 0", s.KeepEntries)
	case s.KeepBytes < 0:
		return errors.Newf("KeepBytes: got %d, expected at least 0", s.KeepBytes)
	case s.MaxLog < s.minMaxLog():
		return errors.Newf("MaxLog: got %d, expected at least %d, or no snapshot is due in a full log", s.MaxLog, s.minMaxLog())
	case s.MinVoters < 0:
		return errors.Newf("MinVoters: got %d, expected at least 0", s.MinVoters)
	case s.MinVoters > 0 && s.StandbyTimeout <= s.Lease:
		return errors.Newf("StandbyTimeout: got %v, expected more than the lease (%v)", s.StandbyTimeout, s.Lease)
	}
	return nil
}

// minMaxLog returns the least MaxLog with which a proposal is refused only while a snapshot is due. After a snapshot, a log holds at most
// KeepBytes; with SnapshotBytes more, the next snapshot is due.
func (s Settings) minMaxLog() int {
	return s.KeepBytes + s.SnapshotBytes + s.MaxEntry + entryOverhead
}
