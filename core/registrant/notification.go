package registrant

import (
	"time"

	"oleandertally/core/specifier"
)

// Notification tells the process what the registrant has received from the leading controller.
type Notification struct {
	Self          specifier.Identity
	Members       []specifier.Member // all known members; nil when unchanged
	MemberVersion uint64             // version of the membership
	// Configuration is set when a newer one was received.
	Configuration *specifier.Configuration
	// LeaseEnd is counted from the time when the renewal was sent; zero when unchanged.
	LeaseEnd time.Time
	// Shares are the slots that an entry may use until LeaseEnd.
	Shares []specifier.ServiceShare
}
