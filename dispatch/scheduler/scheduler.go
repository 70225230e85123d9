package scheduler

import (
	"slices"
	"time"

	"oleandertally/core/collector"
	"oleandertally/core/specifier"
)

// Scheduler holds the tasks of one entry until an agent has room, in the order of their keys. It is
// used by one goroutine. The zero value is ready.
type Scheduler struct {
	agents  map[specifier.Identity]*agent
	order   []*agent // by name, so that ties fall the same way on every run
	waiting map[string]*collector.Heap[Item]
	queued  int
}

// SetMembers replaces the known agents. It returns the tasks held by agents that are gone:
// whether they started is unknown.
func (s *Scheduler) SetMembers(now time.Time, members []specifier.Member) []Assignment {
	if s.agents == nil {
		s.agents = make(map[specifier.Identity]*agent)
	}
	known := make(map[specifier.Identity]bool)
	for _, member := range members {
		if member.Role != specifier.Agent || member.State == specifier.Down {
			continue
		}
		known[member.Identity] = true
		if old := s.agents[member.Identity]; old != nil {
			old.member = member
			continue
		}
		s.agents[member.Identity] = &agent{member: member, held: make(map[specifier.TaskKey]Item),
			load: specifier.Load{Slots: member.Slots}}
	}
	var lost []Assignment
	for _, old := range s.order {
		if !known[old.member.Identity] {
			lost = append(lost, heldBy(old)...)
			delete(s.agents, old.member.Identity)
		}
	}
	s.order = s.order[:0]
	for _, each := range s.agents {
		s.order = append(s.order, each)
	}
	slices.SortFunc(s.order, func(a, b *agent) int { return compareIdentity(a.member.Identity, b.member.Identity) })
	return lost
}

// SetLinked says whether the entry has a stream to the agent.
func (s *Scheduler) SetLinked(now time.Time, id specifier.Identity, linked bool) {
	if agent := s.agents[id]; agent != nil {
		agent.linked = linked
	}
}

// Admit decides whether a job of tasks tasks can finish by its deadline; nil admits it.
func (s *Scheduler) Admit(now time.Time, job specifier.Job, profile specifier.Profile) *Refusal {
	for _, agent := range s.order {
		if agent.member.Service == profile.Service && agent.member.Slots > 0 {
			return nil
		}
	}
	return &Refusal{Reason: specifier.NoWorker, Detail: "no worker serves " + profile.Service, RetryAfter: time.Second}
}

// Enqueue adds items that may start.
func (s *Scheduler) Enqueue(now time.Time, items []Item) {
	if s.waiting == nil {
		s.waiting = make(map[string]*collector.Heap[Item])
	}
	for _, item := range items {
		heap := s.waiting[item.Service]
		if heap == nil {
			heap = &collector.Heap[Item]{Less: func(a, b Item) bool { return a.Order.Less(b.Order) }}
			s.waiting[item.Service] = heap
		}
		heap.Push(item)
		s.queued++
	}
}

// Dispatch returns what can be sent now, in order.
func (s *Scheduler) Dispatch(now time.Time) []Assignment {
	var sent []Assignment
	for s.queued > 0 {
		best := s.pick()
		if best == nil {
			return sent
		}
		item, _ := s.waiting[best.member.Service].Pop()
		s.queued--
		best.held[item.Key] = item
		sent = append(sent, Assignment{Agent: best.member.Identity, Item: item})
	}
	return sent
}

// pick returns the agent with the most room among those for whose service a task waits.
func (s *Scheduler) pick() *agent {
	var best *agent
	for _, agent := range s.order {
		heap := s.waiting[agent.member.Service]
		if heap == nil || heap.Len() == 0 || agent.open() <= 0 {
			continue
		}
		if best == nil || agent.open() > best.open() {
			best = agent
		}
	}
	return best
}

// Done notes that the agent ended a task, successfully or not.
func (s *Scheduler) Done(now time.Time, id specifier.Identity, key specifier.TaskKey, ok bool, runTime time.Duration) {
	if agent := s.agents[id]; agent != nil {
		delete(agent.held, key)
	}
}

// Refused notes that the agent did not start a task; it is queued again.
func (s *Scheduler) Refused(now time.Time, id specifier.Identity, key specifier.TaskKey) {
	agent := s.agents[id]
	if agent == nil {
		return
	}
	if item, ok := agent.held[key]; ok {
		delete(agent.held, key)
		s.Enqueue(now, []Item{item})
	}
}

// Reported notes the load that an agent reported.
func (s *Scheduler) Reported(now time.Time, id specifier.Identity, load specifier.Load) {
	if agent := s.agents[id]; agent != nil {
		agent.load = load
	}
}

// Forget drops every task of a job: those that wait, and the count of those that agents hold.
func (s *Scheduler) Forget(job specifier.JobID) {
	for _, heap := range s.waiting {
		before := heap.Len()
		heap.Filter(func(item Item) bool { return item.Key.Job != job })
		s.queued -= before - heap.Len()
	}
	for _, agent := range s.order {
		for key := range agent.held {
			if key.Job == job {
				delete(agent.held, key)
			}
		}
	}
}

// Next returns when Dispatch should run again though no event came, or the zero time.
func (s *Scheduler) Next() time.Time { return time.Time{} }

func heldBy(agent *agent) []Assignment {
	var held []Assignment
	for _, item := range agent.held {
		held = append(held, Assignment{Agent: agent.member.Identity, Item: item})
	}
	slices.SortFunc(held, func(a, b Assignment) int {
		if a.Item.Order.Less(b.Item.Order) {
			return -1
		}
		return 1
	})
	return held
}

func compareIdentity(a, b specifier.Identity) int {
	if a.Name != b.Name {
		if a.Name < b.Name {
			return -1
		}
		return 1
	}
	switch {
	case a.Incarnation < b.Incarnation:
		return -1
	case a.Incarnation > b.Incarnation:
		return 1
	}
	return 0
}
