package server

import (
	"context"
	"testing"

	"github.com/shoenig/test/must"

	"oleandertally/core/operator"
)

// mustEvacuate sends the order to the cluster and requires that it is carried out.
func (c *cluster) mustEvacuate(order operator.Evacuation) {
	c.t.Helper()
	client := c.client()
	client.MaxRounds, client.RoundInterval, client.Pause = electionRounds, c.consensus.ElectionTimeout, pause
	must.NoError(c.t, client.Evacuate(context.Background(), "request", "operator", order))
}

// waitEvacuated waits for a leader that knows the zone as evacuated or not.
func (c *cluster) waitEvacuated(name string, evacuated bool) {
	c.t.Helper()
	c.waitFor("the state of the zone", func(state operator.State) bool {
		zone, _ := state.QueueZone(name)
		return zone.Evacuated == evacuated
	})
}

// Guards against an acknowledged evacuation that is gone after the loss of the leader or a restart of all controllers, and against an order
// that only the leader itself accepts.
func TestEvacuationSurvives(t *testing.T) {
	c := newCluster(t, 3).begin()
	c.mustEvacuate(operator.Evacuation{Zone: "heredia"})
	c.waitEvacuated("heredia", true)
	killed := c.leader()
	_ = c.kill(killed) // ended by its context
	c.waitEvacuated("heredia", true)
	c.start(killed, false)
	for i := range c.running {
		_ = c.kill(i)
	}
	for i := range c.running {
		c.start(i, false)
	}
	c.waitEvacuated("heredia", true)
	c.mustEvacuate(operator.Evacuation{Zone: "heredia", Restore: true})
	c.waitEvacuated("heredia", false)
	t.Run("invalid", func(t *testing.T) {
		err := c.client().Evacuate(context.Background(), "request", "operator", operator.Evacuation{})
		must.ErrorContains(t, err, "refuses the request")
	})
}
