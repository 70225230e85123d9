package sequencer

import (
	"strings"
	"time"

	"oleandertally/core/specifier"
)

// lease is one grant or renewal of a member's lease. It is in force while Sequencer.leases has the same end for the member.
type lease struct {
	until    time.Time
	identity specifier.Identity
}

func (l lease) less(other lease) bool {
	if !l.until.Equal(other.until) {
		return l.until.Before(other.until)
	}
	if l.identity.Name != other.identity.Name {
		return strings.Compare(l.identity.Name, other.identity.Name) < 0
	}
	return l.identity.Incarnation < other.identity.Incarnation
}
