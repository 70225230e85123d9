package server

import (
	"os"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against controllers that wait for an election timeout after a loss of power, because the last leader is not stored, its request for
// votes is not sent, or its replacement does not answer for it. The election timeout is longer than the test waits.
func TestLossOfPower(t *testing.T) {
	for _, each := range []struct {
		name     string
		loseDisk bool
	}{{"all disks are kept", false}, {"the leader's disk is lost", true}} {
		t.Run(each.name, func(t *testing.T) {
			c := newCluster(t, 3)
			c.consensus.ElectionTimeout = time.Minute
			c.begin()
			leader := c.leader()
			for i := range c.running {
				c.kill(i)
			}
			if each.loseDisk {
				must.NoError(t, os.RemoveAll(c.dataFolder(leader)))
			}
			for i := range c.running {
				c.start(i, false)
			}
			must.Positive(t, c.leader()+1)
		})
	}
}
