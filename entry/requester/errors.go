package requester

import "github.com/cockroachdb/errors"

var (
	// ErrUnsent means that the call was sent to no controller, so it has no effect.
	ErrUnsent = errors.New("requester: no controller leads")
	// ErrUnanswered means that a controller may have received the call.
	ErrUnanswered = errors.New("requester: the call was not answered in time")
)
