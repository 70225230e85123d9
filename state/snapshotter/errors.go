package snapshotter

import "github.com/cockroachdb/errors"

var (
	// ErrNoSnapshot means that the data folder holds no snapshot.
	ErrNoSnapshot = errors.New("no snapshot")
	// ErrTransfer means that a chunk is out of order or that the received content is not a valid
	// snapshot. The transfer may be retried from the start.
	ErrTransfer = errors.New("snapshot transfer failed")
)
