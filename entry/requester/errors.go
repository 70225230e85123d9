package requester

import "github.com/cockroachdb/errors"

var (
	// ErrUnsent means that the call has no effect: it was sent to no controller that could answer.
	ErrUnsent = errors.New("requester: no controller leads")
	// ErrInvalid marks the error of a call that can't be encoded, so it was sent to no controller.
	ErrInvalid = errors.New("requester: the call is invalid")
	// ErrUnanswered means that a controller may have received the call.
	ErrUnanswered = errors.New("requester: the call was not answered in time")
)
