package coordinator_test

import (
	"flag"
	"math/rand/v2"
	"testing"
	"time"

	"oleandertally/agent/executor"
)

var schedules = flag.Int("schedules", 2000, "random schedules to run")

// TestGuaranteesHoldUnderFaults guards against a task that starts twice, a false NotRun, a partial or second answer, and
// a caller without an answer when, at any step, messages are lost or delayed, streams break, and processes are killed
// or recorded as Down.
// A longer run: go test ./entry/coordinator -run TestGuaranteesHold -schedules 100000
func TestGuaranteesHoldUnderFaults(t *testing.T) {
	for seed := range uint64(*schedules) {
		if !runSchedule(t, seed) {
			t.Fatalf("seed %d", seed)
		}
	}
}

func runSchedule(t *testing.T, seed uint64) bool {
	ok := false
	defer func() {
		if !ok {
			t.Logf("seed %d", seed)
		}
	}()
	random := rand.New(rand.NewPCG(seed, 17))
	c := newCluster(t, 2+random.IntN(2), 2+random.IntN(2))
	jobs := 1 + random.IntN(4)
	tasks := 1 + random.IntN(4)
	for range 60 + random.IntN(200) {
		randomStep(c, random, jobs, tasks)
	}
	c.recoverAll()
	c.mustKeepGuarantees()
	ok = true
	return true
}

// randomStep performs one random step or fault.
func randomStep(c *cluster, random *rand.Rand, jobs, tasks int) {
	e := c.entries[random.IntN(len(c.entries))]
	a := c.agents[random.IntN(len(c.agents))]
	s := c.stream(e, a)
	switch choice := random.IntN(100); {
	case choice < 8:
		if e.alive {
			c.submit(e, newJob(random.IntN(jobs), tasks))
		}
	case choice < 10:
		if e.alive {
			c.cancel(e, newJob(random.IntN(jobs), 1).ID)
		}
	case choice < 30:
		c.decide(e, random.IntN(5) == 0)
	case choice < 60:
		if e.alive && a.alive {
			c.deliver(s)
		}
	case choice < 70:
		if a.alive && len(a.running) > 0 {
			c.endRun(a, random.IntN(len(a.running)), randomEnd(random))
		}
	case choice < 78:
		c.tick(time.Duration(random.IntN(1000)) * time.Millisecond)
	case choice < 84:
		c.renew()
		c.publish()
	default:
		randomFault(c, random, e, a)
	}
}

func randomEnd(random *rand.Rand) executor.RunEnded {
	switch random.IntN(8) {
	case 0:
		return executor.RunEnded{NotStarted: true, Detail: "connection refused"}
	case 1:
		return executor.RunEnded{Broken: true, Detail: "status 500"}
	}
	return executor.RunEnded{}
}

func randomFault(c *cluster, random *rand.Rand, e *entryNode, a *agentNode) {
	s := c.stream(e, a)
	switch random.IntN(10) {
	case 0:
		if e.alive {
			c.killWithCallers(e)
		}
	case 1:
		if !e.alive {
			c.restart(e)
		}
	case 2:
		if a.alive {
			c.killAgent(a)
		}
	case 3:
		c.restartAgent(a)
	case 4:
		c.disconnect(s, random.IntN(4))
	case 5, 6:
		if e.alive && a.alive && !s.open {
			c.connect(s)
		}
	case 7:
		e.partitioned = !e.partitioned
	case 8:
		a.partitioned = !a.partitioned
	case 9:
		c.expireLeases(e, a)
	}
}

func (c *cluster) killWithCallers(e *entryNode) {
	for waiter := range c.openRequests {
		if len(c.replies[waiter]) == 0 && c.requestEntry[waiter] == e.process {
			delete(c.openRequests, waiter) // the caller's connection broke with the entry
		}
	}
	c.killEntry(e)
}

func (c *cluster) restart(e *entryNode) {
	for i := range c.entries {
		if c.entries[i] == e {
			c.startEntry(i)
		}
	}
}

func (c *cluster) restartAgent(a *agentNode) {
	for i := range c.agents {
		if c.agents[i] == a && !a.alive {
			c.startAgent(i)
		}
	}
}

// expireLeases records processes as Down that are dead or partitioned and so do not renew their leases.
func (c *cluster) expireLeases(e *entryNode, a *agentNode) {
	if !e.alive || e.partitioned {
		c.recordDown(e.id)
	}
	if (!a.alive || a.partitioned) && !c.now.Before(a.leaseUntil) {
		c.recordDown(a.id)
	}
}
