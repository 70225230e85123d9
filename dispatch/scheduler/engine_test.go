package scheduler

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"oleandertally/core/container"
	"oleandertally/core/specifier"
	"oleandertally/dispatch/orderer"
)

var start = time.Unix(0, 0)

func members(count int) []specifier.Member {
	list := []specifier.Member{{Identity: specifier.Identity{Name: "entry"}, Role: specifier.Entry, State: specifier.Up}}
	for i := range count {
		list = append(list, specifier.Member{Identity: specifier.Identity{Name: fmt.Sprintf("w%04d", i), Incarnation: 1},
			Role: specifier.Agent, Addr: netip.MustParseAddrPort("127.0.0.1:1"), Zone: fmt.Sprint(i % 3), Service: "s", Slots: 8,
			State: specifier.Up})
	}
	return list
}

func newScheduler(agents int) *Scheduler {
	s := &Scheduler{Zone: "0"}
	list := members(agents)
	s.SetMembers(start, list)
	for _, each := range list {
		s.SetConnected(start, each.Identity, true)
	}
	return s
}

func items(job string, count int) []Item {
	id := specifier.NewJobID("t", job)
	var list []Item
	for i := range count {
		key := specifier.TaskKey{Job: id, Task: fmt.Sprint(i)}
		list = append(list, Item{Key: key, Order: orderer.NewKey(start, count, 0, key), Service: "s", Profile: "p", Team: "t"})
	}
	return list
}

func mustDispatch(t *testing.T, s *Scheduler, now time.Time, want int) []Assignment {
	t.Helper()
	sent := s.Dispatch(now)
	must.Len(t, want, sent)
	return sent
}

func TestDispatch(t *testing.T) {
	t.Run("the task with the smallest key is sent first", func(t *testing.T) {
		s := newScheduler(1)
		s.Enqueue(start, items("wide", 20))
		s.Enqueue(start, items("narrow", 1))
		must.Eq(t, specifier.NewJobID("t", "narrow"), s.Dispatch(start)[0].Item.Key.Job)
	})
	t.Run("an agent gets few tasks before its first response", func(t *testing.T) {
		// Guards against a black hole: a worker that fails every task immediately and is sent a whole wide job at once.
		s := newScheduler(1)
		s.Enqueue(start, items("j", 8))
		mustDispatch(t, s, start, paceTasks)
		mustDispatch(t, s, start.Add(paceInterval/2), 0)
		mustDispatch(t, s, start.Add(paceInterval), paceTasks)
	})
	t.Run("an agent that is draining, disconnected or without slots gets no tasks", func(t *testing.T) {
		s := newScheduler(3)
		list := members(3)
		list[1].State = specifier.Draining
		s.SetMembers(start, list)
		s.SetConnected(start, list[2].Identity, false)
		s.UpdateLoad(start, list[3].Identity, specifier.Load{})
		s.Enqueue(start, items("j", 4))
		mustDispatch(t, s, start, 0)
	})
	t.Run("an agent that sends no reports gets tasks again", func(t *testing.T) {
		// Guards against an entry that assumes forever that an agent is full: an agent without tasks from the entry sends no
		// reports.
		s := newScheduler(1)
		s.UpdateLoad(start, members(1)[1].Identity, specifier.Load{Slots: 8, Running: 8, Queued: 3})
		s.Enqueue(start, items("j", 1))
		mustDispatch(t, s, start, 0)
		mustDispatch(t, s, start.Add(time.Second), 1)
	})
	t.Run("tasks of lost agents are returned once, in order", func(t *testing.T) {
		s := newScheduler(2)
		s.Enqueue(start, items("j", 4))
		mustDispatch(t, s, start, 4)
		must.Len(t, 4, s.SetMembers(start, members(0)))
		must.SliceEmpty(t, s.SetMembers(start, members(0)))
	})
	t.Run("a task that cannot end before its deadline is not started", func(t *testing.T) {
		s := newScheduler(1)
		for range 20 {
			s.classifier.Record("p", time.Second)
		}
		late := items("j", 2)
		for i := range late {
			late[i].Deadline = start.Add(400 * time.Millisecond)
		}
		s.Enqueue(start, late)
		mustDispatch(t, s, start, 0)
		must.Eq(t, 0, s.queued())
	})
	t.Run("a refused task is sent again after a delay", func(t *testing.T) {
		s := newScheduler(1)
		s.Enqueue(start, items("j", 1))
		sent := mustDispatch(t, s, start, 1)[0]
		s.TaskRefused(start, sent.Agent, sent.Item.Key)
		mustDispatch(t, s, start, 0)
		must.False(t, s.Next().IsZero())
		mustDispatch(t, s, start.Add(time.Second), 1)
	})
}

// TestAdmitBeforeLearning guards against a profile whose declared run time is ten times too long: its jobs would be refused
// each time, so that the actual run time is never learned.
func TestAdmitBeforeLearning(t *testing.T) {
	s := newScheduler(11)
	profile := specifier.Profile{Name: "p", Service: "s", TypicalTime: 100 * time.Second}
	job := specifier.Job{Tasks: make([]specifier.Task, 4), Deadline: start.Add(10 * time.Second)}
	must.Nil(t, s.Admit(start, job, profile))
	s.Enqueue(start, items("j", 4))
	mustDispatch(t, s, start, 4)
}

func TestLongWork(t *testing.T) {
	// Guards against long tasks in every slot of a worker or zone, which would make short work wait.
	s := newScheduler(6)
	s.Admit(start, specifier.Job{Deadline: start.Add(time.Hour)}, specifier.Profile{Name: "long", Service: "s", TypicalTime: time.Minute})
	s.Enqueue(start, items("short", 1))
	long := items("long", 200)
	for i := range long {
		long[i].Profile = "long"
	}
	s.Enqueue(start, long)
	for i := range 100 {
		s.Dispatch(start.Add(time.Duration(i) * paceInterval))
	}
	for _, agent := range s.pools["s"].agents {
		must.LessEq(t, 4, agent.longAssigned)
	}
	for _, zone := range s.pools["s"].zones {
		must.LessEq(t, 8, zone.longAssigned)
	}
}

// TestRemoveJob guards against sending tasks of cancelled jobs, and against counts that are not reduced when a job is removed.
func TestRemoveJob(t *testing.T) {
	s := newScheduler(2)
	for i := range 1000 {
		s.Enqueue(start, items(fmt.Sprint(i), 3))
	}
	s.Dispatch(start)
	for i := range 1000 {
		s.RemoveJob(specifier.NewJobID("t", fmt.Sprint(i)))
	}
	mustDispatch(t, s, start.Add(time.Second), 0)
	pool := s.pools["s"]
	must.Eq(t, 0, pool.assigned)
	must.Eq(t, 0, pool.work[shortLane])
	must.LessEq(t, 64, pool.waiting[shortLane].Len())
	must.MapEmpty(t, s.jobs)
}

// TestEngineProperties guards against a task that is sent twice without a refusal, and against an agent that is assigned
// more tasks than its slots and the look-ahead, under random sequences of events.
func TestEngineProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, now, jobs := newScheduler(3), start, 0
		assigned := map[specifier.TaskKey]specifier.Identity{}
		var order []specifier.TaskKey
		t.Repeat(map[string]func(*rapid.T){
			"enqueue": func(t *rapid.T) {
				jobs++
				s.Enqueue(now, items(fmt.Sprint(jobs), rapid.IntRange(1, 30).Draw(t, "tasks")))
			},
			"dispatch": func(t *rapid.T) {
				for _, sent := range s.Dispatch(now) {
					must.MapNotContainsKey(t, assigned, sent.Item.Key)
					assigned[sent.Item.Key] = sent.Agent
					order = append(order, sent.Item.Key)
				}
			},
			"answer": func(t *rapid.T) {
				if len(order) == 0 {
					return
				}
				key := order[0]
				order = order[1:]
				id := assigned[key]
				if rapid.Bool().Draw(t, "refused") {
					delete(assigned, key)
					s.TaskRefused(now, id, key)
				} else {
					s.TaskEnded(now, id, key, rapid.Bool().Draw(t, "ok"), time.Second)
				}
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 500).Draw(t, "ms")) * time.Millisecond)
			},
			"wake": func(t *rapid.T) {
				// Guards against a control loop that spins because Next returns a time that is not after now.
				for _, sent := range s.Dispatch(now) {
					assigned[sent.Item.Key] = sent.Agent
					order = append(order, sent.Item.Key)
				}
				if next := s.Next(); !next.IsZero() {
					must.True(t, next.After(now))
					now = next
				}
			},
			"": func(t *rapid.T) {
				for _, agent := range s.pools["s"].agents {
					must.LessEq(t, agent.member.Slots+lookAhead, len(agent.assigned))
				}
			},
		})
	})
}

// TestPlacementAllocates guards against allocations on the hot path, where one task ends and the next is sent.
func TestPlacementAllocates(t *testing.T) {
	s := newScheduler(11)
	cycle := steadyCycle(s, 11)
	var dispatching time.Duration
	must.Less(t, 0.1, testing.AllocsPerRun(2000, func() { cycle(&dispatching) }))
}

// steadyCycle fills the agents and returns a function that ends one task, then queues and sends another. The simulated
// time advances as if all slots ran tasks of 0.6 s.
func steadyCycle(s *Scheduler, agents int) func(dispatching *time.Duration) {
	now, slots := start, agents*8
	for i := range 40 {
		s.Enqueue(now, items(fmt.Sprint(i), 250))
	}
	running := &container.Queue[Assignment]{}
	place := func() {
		for _, sent := range s.Dispatch(now) {
			running.Push(sent)
		}
	}
	for running.Len() < slots*3/4 {
		place()
		now = now.Add(paceInterval)
	}
	replacement := make([]Item, 1)
	return func(dispatching *time.Duration) {
		now = now.Add(600 * time.Millisecond / time.Duration(slots))
		if ended, ok := running.Pop(); ok {
			s.UpdateLoad(now, ended.Agent, specifier.Load{Slots: 8, Running: 6})
			s.TaskEnded(now, ended.Agent, ended.Item.Key, true, 500*time.Millisecond)
			replacement[0] = ended.Item
			s.Enqueue(now, replacement)
		}
		dispatchStart := time.Now()
		place()
		*dispatching += time.Since(dispatchStart)
	}
}

// BenchmarkPlacement reports the time of a full cycle, and the time of Dispatch alone.
func BenchmarkPlacement(b *testing.B) {
	for _, agents := range []int{11, 110, 940} {
		b.Run(fmt.Sprint(agents), func(b *testing.B) {
			s := newScheduler(agents)
			cycle := steadyCycle(s, agents)
			b.ReportAllocs()
			var dispatching time.Duration
			for b.Loop() {
				cycle(&dispatching)
			}
			b.ReportMetric(float64(dispatching.Nanoseconds())/float64(b.N), "dispatch-ns/op")
		})
	}
}
