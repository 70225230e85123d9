package registrar

import (
	"time"

	"oleandertally/core/specifier"
)

// departure records an incarnation of a member that went Down. Jobs accepted earlier may have tasks on
// it, so the record is kept as long as the submission of any such job can be.
type departure struct {
	identity  specifier.Identity
	role      specifier.Role
	index     uint64 // log index of the batch that recorded the departure
	keepUntil time.Time
}
