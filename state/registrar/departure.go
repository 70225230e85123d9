package registrar

import (
	"time"

	"oleandertally/core/specifier"
)

// departure records an incarnation that went Down. A job accepted before it may have tasks
// there, so it is kept as long as any such submission can be.
type departure struct {
	identity specifier.Identity
	role     specifier.Role
	index    uint64 // of the batch that recorded it
	keep     time.Time
}
