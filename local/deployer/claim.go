package deployer

import (
	"math/rand/v2"
	"net"
	"net/netip"

	"github.com/cockroachdb/errors"
)

// Claim holds the addresses of one site, so that sites of several processes on one host do not meet.
type Claim struct {
	Layout   Layout
	listener net.Listener
}

// NewClaim claims a free part of the loopback range, of the second bytes 64 to 254. The port that it
// listens on is the claim itself: no role uses it, and it is free again when its process ends.
func NewClaim() (*Claim, error) {
	var err error
	for _, i := range rand.Perm(191) {
		base := netip.AddrFrom4([4]byte{127, byte(64 + i), 0, 0})
		var listener net.Listener
		if listener, err = net.Listen("tcp", netip.AddrPortFrom(Layout{Base: base}.host(0, 0), peerPort).String()); err == nil {
			return &Claim{Layout: Layout{Base: base}, listener: listener}, nil
		}
	}
	return nil, errors.Wrap(err, "deployer: no part of the loopback range is free")
}

// Release gives the addresses up.
func (c *Claim) Release() { c.listener.Close() }
