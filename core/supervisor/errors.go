package supervisor

import "github.com/cockroachdb/errors"

// Why a shutdown was cut off.
var (
	ErrStopDeadline = errors.New("the time for the shutdown is over")
	ErrInterrupted  = errors.New("a second signal arrived")
)
