package server

import (
	"github.com/cockroachdb/errors"

	"oleandertally/core/configurator"
)

// diskShare is how the room of a controller's disk is divided, in bytes. Two snapshots are on the disk while the newer one is saved, so that
// the log and twice the state must fit.
type diskShare struct {
	snapshotBytes int // log entries between two snapshots
	keepBytes     int // log entries kept before a snapshot
	maxLog        int // log entries
	maxEntry      int // one log entry
	segment       int // a file of the log
	recorded      int // records of jobs
}

// shareDisk divides a disk of limit bytes. The files of a full log exceed maxLog by a segment that is compacted in part. With
// the largest entry, manifest and records, the rest of the smallest site's disk (128 MB) holds two snapshots.
func shareDisk(limit configurator.ByteSize) diskShare {
	return diskShare{snapshotBytes: int(limit / 16), keepBytes: int(limit / 16), maxLog: int(limit / 4), maxEntry: int(limit / 9),
		segment: int(limit / 32), recorded: int(limit / 6)}
}

// limitDisk bounds the log and the records of jobs by their shares of DiskLimit.
func (c *Controller) limitDisk() error {
	if c.DiskLimit == 0 {
		return nil
	}
	share := shareDisk(c.DiskLimit)
	c.Consensus.SnapshotBytes, c.Consensus.KeepBytes, c.Consensus.MaxLog = share.snapshotBytes, share.keepBytes, share.maxLog
	c.Consensus.MaxEntry = min(c.Consensus.MaxEntry, share.maxEntry)
	c.Queues.MaxRecorded = min(c.Queues.MaxRecorded, share.recorded)
	c.segmentSize = int64(share.segment)
	return errors.Wrapf(c.Consensus.Check(), "controller: DiskLimit: got %v, which is too little for the log", c.DiskLimit)
}
