package server

import (
	"time"

	"oleandertally/core/configurator"
	"oleandertally/state/replicator"
)

// jobRetention is how long an ended job of a queue is kept by default.
const jobRetention = 10 * time.Minute

// FromSettings returns a controller. The caller still sets Security, Metrics, Health and Log.
func FromSettings(settings configurator.ControllerSettings) *Controller {
	consensus := replicator.Defaults()
	consensus.Heartbeat, consensus.Lease = settings.Heartbeat, settings.LeaderLease
	consensus.ElectionTimeout, consensus.SnapshotEvery = settings.ElectionTimeout, settings.SnapshotAfter
	// A follower that was unreachable for up to a quarter of the time between two snapshots catches up without one.
	consensus.KeepEntries = settings.SnapshotAfter / 4
	c := &Controller{Name: settings.Name, Zone: settings.Zone, Addr: settings.Addr, DataFolder: settings.DataFolder,
		DiskLimit:   settings.DiskLimit,
		MemberLease: settings.MemberLease, MaxSubmissions: settings.MaxSubmissions, MaxBatch: settings.MaxBatch,
		MaxMessage: settings.MaxMessage, Consensus: consensus}
	for _, peer := range settings.Peers {
		c.Peers = append(c.Peers, Peer{Name: peer.Name, Addr: peer.Addr})
	}
	return c
}
