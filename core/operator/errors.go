package operator

import "github.com/cockroachdb/errors"

// ErrRevisionUnavailable means that the configuration at the revision asked for is not held.
var ErrRevisionUnavailable = errors.New("the configuration at this revision is not held")
