package operator

import "github.com/cockroachdb/errors"

// ErrRevisionUnavailable means that the controllers do not store the configuration at the requested revision: it is
// unknown or has been evicted.
var ErrRevisionUnavailable = errors.New("the configuration at this revision is not held")

// ErrInvalid marks the refusal of an order that can never be carried out.
var ErrInvalid = errors.New("the order is invalid")
