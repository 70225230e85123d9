package journaler

import "github.com/cockroachdb/errors"

var (
	// ErrLocked means that another process holds the data folder.
	ErrLocked = errors.New("data folder is in use")
	// ErrFailed means that a write or a sync failed. What the disk holds is unknown until the
	// process starts again, so every later call fails too and the process must stop.
	ErrFailed = errors.New("journal failed; the process must stop")
	// ErrOrder means that an operation does not fit the log, which is a fault of the program.
	ErrOutOfOrder = errors.New("operation out of order")
)
