package benchmarker

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"oleandertally/core/specifier"
	"oleandertally/dispatch/scheduler"
	"oleandertally/entry/coordinator"
)

const (
	service     = "reservas"
	slots       = 8
	payloadSize = 100 // in bytes, of a task's payload and of its result
)

var startTime = time.Date(2026, 5, 4, 9, 0, 0, 0, time.UTC)

// entryFixture is a coordinator whose controllers and agents answer immediately.
type entryFixture struct {
	machine  *coordinator.Coordinator
	now      time.Time
	jobCount uint64
	epoch    specifier.Epoch
}

func newEntryFixture(workers, maxJobs int) *entryFixture {
	e := &entryFixture{now: startTime, epoch: 1,
		machine: coordinator.New(maxJobs, rand.New(rand.NewPCG(1, 1)), &scheduler.Scheduler{})}
	members := newMembers(workers)
	e.machine.Step(e.now, coordinator.Identified{Self: specifier.Identity{Name: "entry-1", Incarnation: 1}})
	e.machine.Step(e.now, coordinator.MembersChanged{Version: 1, Members: members})
	e.machine.Step(e.now, coordinator.Configured{Configuration: specifier.Configuration{Revision: 1,
		Profiles: map[string]specifier.Profile{"mix": {Name: "mix", Service: service}}}})
	for _, member := range members {
		e.machine.Step(e.now, coordinator.AgentConnected{Agent: member.Identity})
		e.machine.Step(e.now, coordinator.LoadReceived{Agent: member.Identity, Load: specifier.Load{Slots: slots}})
	}
	return e
}

// newMembers returns agents in five zones and in racks of three.
func newMembers(workers int) []specifier.Member {
	var members []specifier.Member
	for i := range workers {
		members = append(members, specifier.Member{
			Identity: specifier.Identity{Name: fmt.Sprintf("worker-%04d", i), Incarnation: specifier.Incarnation(0x9e3779b97f4a7c15 * uint64(i+1))},
			Role:     specifier.Agent, Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 7000),
			Zone: fmt.Sprintf("zone-%d", i%5), Rack: fmt.Sprintf("rack-%d", i/3), Service: service, Slots: slots, State: specifier.Up})
	}
	return members
}

func newJob(number uint64, tasks int, deadline time.Time) specifier.Job {
	key := fmt.Sprintf("key-%020d", number)
	job := specifier.Job{Team: "web", Key: key, ID: specifier.NewJobID("web", key), Profile: "mix", Deadline: deadline}
	for i := range tasks {
		job.Tasks = append(job.Tasks, specifier.Task{ID: fmt.Sprintf("t%03d", i), Payload: make([]byte, payloadSize)})
	}
	return job
}

// submit submits a job, accepts its proposal and returns the resulting actions, among them the assignments.
func (e *entryFixture) submit(tasks int) (job specifier.Job, actions []coordinator.Action) {
	e.jobCount++
	job = newJob(e.jobCount, tasks, e.now.Add(time.Minute))
	for _, action := range e.machine.Step(e.now, coordinator.Submitted{Waiter: coordinator.Waiter(e.jobCount), Job: job}) {
		if propose, ok := action.(coordinator.Propose); ok {
			actions = append(actions, e.machine.Step(e.now, coordinator.Decided{Command: propose.Command,
				Decision: specifier.Decision{Verdict: specifier.Accepted, Epoch: e.epoch, Revision: 1, MemberVersion: 1}})...)
		}
	}
	return job, actions
}

// finish completes each assigned task and applies each proposal until the job is answered and recorded. It reports
// whether the caller got a complete answer.
func (e *entryFixture) finish(actions []coordinator.Action) (answered bool) {
	for len(actions) > 0 {
		action := actions[0]
		actions = actions[1:]
		switch action := action.(type) {
		case coordinator.Assign:
			actions = append(actions, e.machine.Step(e.now, coordinator.TaskDone{Agent: action.Agent, Key: action.Key, Epoch: action.Epoch,
				Body: make([]byte, payloadSize), RunTime: 500 * time.Millisecond})...)
			actions = append(actions, e.machine.Step(e.now, coordinator.LoadReceived{Agent: action.Agent, Load: specifier.Load{Slots: slots}})...)
		case coordinator.Propose:
			actions = append(actions, e.machine.Step(e.now, coordinator.Decided{Command: action.Command,
				Decision: specifier.Decision{Verdict: specifier.Applied}})...)
		case coordinator.Reply:
			answered = answered || action.Answer.Outcome == specifier.Complete
		}
	}
	return answered
}
