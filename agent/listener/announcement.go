package listener

import "net/netip"

// Announcement is the body of POST /v1/announce, by which an upstream announces that it takes work.
type Announcement struct {
	Addr  netip.AddrPort // where it serves POST /tasks
	Slots int            // number of tasks that the upstream runs concurrently
}
