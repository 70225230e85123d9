package supervisor

import "github.com/cockroachdb/errors"

// The causes of a CutOffError.
var (
	ErrStopDeadline = errors.New("the time for the shutdown is over")
	ErrInterrupted  = errors.New("a second signal arrived")
)
