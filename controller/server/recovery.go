package server

import (
	"github.com/cockroachdb/errors"

	"oleandertally/state/replicator"
)

// recovery is the content of a data folder when the controller starts.
type recovery struct {
	disk    uint64 // identity of the data folder
	log     replicator.Recovered
	content []byte // content of the newest snapshot; nil without a snapshot
}

// isNew reports whether the folder never took part in a cluster. A folder that holds only term 1 is new too: an interrupted
// bootstrap leaves such a folder, and no leader has term 1.
func (r recovery) isNew() bool {
	return r.log.State.Term <= 1 && len(r.log.Entries) == 0 && r.log.Snapshot.Index == 0
}

// check returns an error if the folder does not allow this start. peers counts this controller too.
func (r recovery) check(bootstrap bool, peers int) error {
	switch {
	case r.log.Snapshot.Index > 0 && r.log.State.Term == 0:
		// A snapshot is installed only after the term is in the journal.
		return errors.Newf("there is a snapshot that ends at %d, but the journal is new: the folder lost its journal and with it "+
			"its votes; replace this controller: empty the folder and start it without -bootstrap", r.log.Snapshot.Index)
	case bootstrap && !r.isNew():
		return errors.New("-bootstrap begins a new cluster, but the folder is not new; start without it")
	case !bootstrap && r.isNew() && peers == 1:
		return errors.New("the folder is new and Peers lists no other controller to join; begin a new cluster with -bootstrap")
	}
	return nil
}
