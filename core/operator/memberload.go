package operator

import "oleandertally/core/specifier"

// MemberLoad is the load of one incarnation of a member.
type MemberLoad struct {
	Identity specifier.Identity
	Load     specifier.Load
}
