package registrar

import (
	"time"

	"oleandertally/core/specifier"
)

// request records the decision on a configuration change, to answer a resend.
type request struct {
	id        string
	digest    specifier.Digest // digest of the change
	operator  string
	decision  specifier.Decision
	keepUntil time.Time
}
