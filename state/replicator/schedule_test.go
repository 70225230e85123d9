package replicator

import (
	"fmt"
	"time"
)

// schedule is a run of random steps. All random choices come from pick, which returns a number from 0 to n-1. The weights of
// the kinds of steps differ between schedules, because some faults have an effect only where other faults are rare.
type schedule struct {
	*cluster
	pick    func(n int) int
	weights [9]int
}

// runSchedule takes the given number of random steps and then runs the cluster without faults until it recovers.
// It returns the first violation.
func runSchedule(pick func(n int) int, steps int) (err error) {
	defer func() {
		if fault := recover(); fault != nil {
			err = fmt.Errorf("panic: %v", fault)
		}
	}()
	voters, seed, settings := []int{1, 3, 3, 3, 5}[pick(5)], uint64(pick(1<<30)), testSettings()
	if seed%2 == 1 {
		settings = byteSettings()
	}
	s := &schedule{cluster: newCluster(voters, seed, settings), pick: pick}
	for kind, weight := range [9]int{36, 18, 14, 8, 3, 5, 7, 4, 5} {
		s.weights[kind] = 1 + weight*pick(4)/2
	}
	s.runWithoutFaults(5*time.Second, func() bool { return s.leading() != nil })
	for range steps {
		s.takeRandomStep()
		if s.err != nil {
			return s.err
		}
	}
	s.endFaults()
	return s.err
}

func (s *schedule) takeRandomStep() {
	h := s.hosts[s.pick(len(s.hosts))]
	switch s.randomStepKind() {
	case 0:
		s.network(s.pick(12))
	case 1:
		if h.up && len(h.disk.queue) > 0 {
			s.sync(h, 1+s.pick(len(h.disk.queue)))
		}
	case 2:
		s.advance(time.Duration(1+s.pick(100)) * time.Millisecond)
	case 3:
		s.proposeSome()
	case 4:
		s.saveSnapshot(h)
	case 5:
		s.restart(h)
	case 6:
		s.partition(h, s.pick(7))
	case 7:
		s.changeMembers(h, s.pick(6))
	case 8:
		s.runWithoutFaults(time.Duration(50+s.pick(600))*time.Millisecond, func() bool { return false })
	}
}

// randomStepKind picks the kind of the next step by the weights of this schedule.
func (s *schedule) randomStepKind() int {
	total := 0
	for _, weight := range s.weights {
		total += weight
	}
	left := s.pick(total)
	for kind, weight := range s.weights {
		if left -= weight; left < 0 {
			return kind
		}
	}
	return 0
}

// network delivers the oldest packets, or loses, duplicates or reorders one packet.
func (s *schedule) network(kind int) {
	if len(s.packets) == 0 {
		return
	}
	switch i := s.pick(len(s.packets)); kind {
	case 0:
		if p := s.removePacket(i); p.content != nil {
			s.step(s.host(p.envelope.From), SnapshotSent{To: p.envelope.To, Failed: true,
				Index: p.envelope.Message.(InstallSnapshot).Snapshot.Index})
		}
	case 1:
		s.deliver(s.packets[i])
	case 2:
		s.deliver(s.removePacket(i))
	default:
		for n := min(s.pick(8), len(s.packets)); n > 0; n-- {
			s.deliver(s.removePacket(0))
		}
	}
}

func (s *schedule) proposeSome() {
	h := s.hosts[s.pick(len(s.hosts))]
	if leader := s.leading(); leader != nil && s.pick(8) > 0 {
		h = leader
	}
	for range 1 + s.pick(4) {
		s.propose(h)
	}
}

// restart crashes a server, starts a crashed server, or crashes and starts a server in one step.
func (s *schedule) restart(h *host) {
	if s.pick(10) == 0 {
		s.losePower()
		return
	}
	if h.diskLost {
		return
	}
	up := h.up
	if up {
		s.crash(h, s.pick(len(h.disk.queue)+1))
	}
	if !up || s.pick(2) == 0 {
		s.startHost(h)
	}
}

// losePower crashes all servers at the same time, and starts most of them again.
func (s *schedule) losePower() {
	for _, h := range s.hosts {
		if h.up {
			s.crash(h, s.pick(len(h.disk.queue)+1))
		}
	}
	for _, h := range s.hosts {
		if !h.diskLost && s.pick(4) > 0 {
			s.startHost(h)
		}
	}
}

// partition isolates one server or the leader, blocks one direction between two servers, or blocks both directions between
// the leader and a server that the others still reach. Otherwise, it ends all partitions.
func (s *schedule) partition(h *host, kind int) {
	leader := s.leading()
	switch {
	case kind == 0:
		s.isolate(h)
	case kind == 1 && leader != nil:
		s.isolate(leader)
	case kind == 2:
		s.blocked[[2]ServerID{h.id, s.hosts[s.pick(len(s.hosts))].id}] = true
	case kind < 5 && leader != nil:
		s.blocked[[2]ServerID{h.id, leader.id}], s.blocked[[2]ServerID{leader.id, h.id}] = true, true
	default:
		s.heal()
	}
}

func (s *schedule) changeMembers(h *host, kind int) {
	leader := s.leading()
	if leader == nil {
		return
	}
	switch {
	case kind < 2:
		s.step(leader, Transfer{})
	case kind == 2 && len(leader.node.Servers()) > 3 && (h.diskLost || s.lostVoter(leader) == nil):
		s.step(leader, RemoveServer{ID: h.id})
	case kind == 3 && len(s.hosts) < 9:
		s.step(leader, AddServer{Server: Server{ID: s.addHost("n").id}})
	case kind == 4:
		s.loseDisk(leader, h)
	case kind == 5:
		s.replaceLost(leader)
	}
}

// loseDisk destroys a disk if no membership change is pending and no other disk is lost. No replication with three copies
// survives more than one lost disk.
func (s *schedule) loseDisk(leader, h *host) {
	if h.diskLost || len(s.hosts) >= 9 || leader.node.changePending() || len(leader.node.members.current().voters) < 3 ||
		s.lostVoter(leader) != nil {
		return
	}
	s.crash(h, 0)
	h.diskLost = true
}

func (s *schedule) lostVoter(leader *host) *host {
	for _, server := range leader.node.Servers() {
		if h := s.host(server.ID); h.diskLost {
			return h
		}
	}
	return nil
}

func (s *schedule) replaceLost(leader *host) {
	if lost := s.lostVoter(leader); lost != nil && !leader.node.changePending() && len(s.hosts) < 12 {
		added := s.addHost(lost.id.Name)
		s.step(leader, AddServer{Server: Server{ID: added.id, Replaces: lost.id}})
	}
}

// endFaults ends all faults and checks that the cluster then applies new entries on all members.
func (s *schedule) endFaults() {
	s.heal()
	for _, h := range s.hosts {
		if !h.up && !h.diskLost {
			s.startHost(h)
		}
	}
	accepted := 0
	done := s.runWithoutFaults(30*time.Second, func() bool {
		leader := s.leading()
		if leader == nil {
			return false
		}
		if accepted < 3 { // a full log refuses proposals until a snapshot is saved
			refused := len(s.refused)
			s.propose(leader)
			if len(s.refused) == refused {
				accepted++
			}
			return false
		}
		return s.allApplied(leader)
	})
	if !done && s.err == nil {
		s.fail("progress: no new entry is applied everywhere within 30 s after the last fault")
	}
}

// allApplied reports whether every member whose disk is not lost applied the leader's whole log.
func (s *schedule) allApplied(leader *host) bool {
	for _, server := range leader.node.Servers() {
		if h := s.host(server.ID); !h.diskLost && (h.applied != leader.node.log.last() || h.digest != leader.digest) {
			return false
		}
	}
	return true
}
