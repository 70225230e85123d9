package requester

import "github.com/cockroachdb/errors"

var (
	// ErrUnsent means that the call was sent to no controller, so it has no effect.
	ErrUnsent = errors.New("requester: no controller leads")
	// ErrInvalid marks the error of a call that can't be encoded, so it was sent to no controller.
	ErrInvalid = errors.New("requester: the call is invalid")
	// ErrUnanswered means that a controller may have received the call.
	ErrUnanswered = errors.New("requester: the call was not answered in time")
)
