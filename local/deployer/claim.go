package deployer

import (
	"math/rand/v2"
	"net"
	"net/netip"

	"github.com/cockroachdb/errors"
)

// Claim reserves the addresses of one site, so that sites of several test processes on one host do not collide.
type Claim struct {
	Layout   Layout
	listener net.Listener
}

// NewClaim claims a free /16 of the loopback range, with a second byte of 64 to 254. The claim is a listener on a
// port that no role uses, so the operating system releases it when the process ends.
func NewClaim() (*Claim, error) {
	var err error
	for _, i := range rand.Perm(191) {
		base := netip.AddrFrom4([4]byte{127, byte(64 + i), 0, 0})
		var listener net.Listener
		if listener, err = net.Listen("tcp", netip.AddrPortFrom(Layout{Base: base}.host(0, 0), peerPort).String()); err == nil {
			return &Claim{Layout: Layout{Base: base}, listener: listener}, nil
		}
	}
	return nil, errors.Wrap(err, "deployer: no /16 of the loopback range is free")
}

// Release releases the addresses.
func (c *Claim) Release() { c.listener.Close() }
