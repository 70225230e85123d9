package registrant

import (
	"time"

	"oleandertally/core/specifier"
)

// Notice is what the registrant learned.
type Notification struct {
	Self          specifier.Identity
	Members       []specifier.Member // every member that is known; nil when unchanged
	MemberVersion uint64             // of the membership
	// Configuration is set when a newer one came.
	Configuration *specifier.Configuration
	// Until is when the lease ends, counted from when the renewal was sent; zero when unchanged.
	LeaseEnd time.Time
	// Shares are what an entry may count on until then.
	Shares []specifier.ServiceShare
}
