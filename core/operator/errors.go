package operator

import "github.com/cockroachdb/errors"

// ErrNotHeld means that the configuration at the revision asked for is not held.
var ErrNotHeld = errors.New("the configuration at this revision is not held")
