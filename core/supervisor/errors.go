package supervisor

import "github.com/cockroachdb/errors"

// The causes of a CutOffError.
var (
	ErrStopDeadline = errors.New("the deadline of the shutdown has passed")
	ErrInterrupted  = errors.New("a second signal arrived")
)
