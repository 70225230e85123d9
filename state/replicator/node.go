package replicator

import (
	"math/rand/v2"
	"time"
)

// Node is one server. It implements mailer.Machine and is used by one goroutine. Exported fields are set
// before the first event; Check verifies them.
type Node struct {
	Self      ServerID
	Settings  Settings
	Recovered Recovered
	Random    *rand.Rand // spreads the election timeouts
}

// Check returns an error that names the first field that is wrong.
func (n *Node) Check() error { return n.Settings.Check() }

// Step handles one event at time now and returns the actions to perform, in order.
func (n *Node) Step(now time.Time, event Event) []Action { return nil }

// Expire handles every deadline that is due at now.
func (n *Node) Expire(now time.Time) []Action { return nil }

// Next returns the earliest deadline, or the zero time when there is none.
func (n *Node) Next() time.Time { return time.Time{} }

// Leading reports whether this server may answer as leader at now: it leads, has applied every earlier entry, and
// a majority acknowledged it within the lease.
func (n *Node) Leading(now time.Time) bool { return false }
