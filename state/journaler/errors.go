package journaler

import "github.com/cockroachdb/errors"

var (
	// ErrLocked means that another process has locked the data folder.
	ErrLocked = errors.New("data folder is in use")
	// ErrFailed means that a write or a sync failed. The content of the disk is unknown until the
	// process restarts, so every later call fails too and the process must stop.
	ErrFailed = errors.New("journal failed; the process must stop")
	// ErrOutOfOrder means that an operation does not fit the current log, which is a bug in the caller.
	ErrOutOfOrder = errors.New("operation out of order")
)
