package snapshotter

import "github.com/cockroachdb/errors"

var (
	// ErrNone means that the data folder holds no snapshot.
	ErrNoSnapshot = errors.New("no snapshot")
	// ErrTransfer means that a transfer is out of order or its content is not a valid snapshot;
	// it may be tried again from the start.
	ErrTransfer = errors.New("snapshot transfer failed")
)
