package registrar

import (
	"time"

	"oleandertally/core/specifier"
)

// request is the record of one configuration change that was decided, for a resend.
type request struct {
	id       string
	digest   specifier.Digest // of its content
	operator string
	decision specifier.Decision
	keep     time.Time
}
