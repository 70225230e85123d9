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
	service = "reservas"
	slots   = 8
	payload = 100 // bytes of a task's payload and of its result
)

var nine = time.Date(2026, 5, 4, 9, 0, 0, 0, time.UTC)

// entryStand is a coordinator whose controllers and agents answer at once.
type entryStand struct {
	machine *coordinator.Coordinator
	now     time.Time
	last    uint64
	epoch   specifier.Epoch
}

func newEntryStand(workers, maxJobs int) *entryStand {
	e := &entryStand{now: nine, epoch: 1,
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

// newMembers returns agents in racks of three and five zones.
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
		job.Tasks = append(job.Tasks, specifier.Task{ID: fmt.Sprintf("t%03d", i), Payload: make([]byte, payload)})
	}
	return job
}

// submit submits a job and has it accepted; the assignments are returned.
func (e *entryStand) submit(tasks int) (job specifier.Job, actions []coordinator.Action) {
	e.last++
	job = newJob(e.last, tasks, e.now.Add(time.Minute))
	for _, action := range e.machine.Step(e.now, coordinator.Submitted{Waiter: coordinator.Waiter(e.last), Job: job}) {
		if propose, ok := action.(coordinator.Propose); ok {
			actions = append(actions, e.machine.Step(e.now, coordinator.Decided{Command: propose.Command,
				Decision: specifier.Decision{Verdict: specifier.Accepted, Epoch: e.epoch, Revision: 1, MemberVersion: 1}})...)
		}
	}
	return job, actions
}

// finish returns a result for each assignment until the job is answered and recorded. It returns
// whether a caller was answered.
func (e *entryStand) finish(actions []coordinator.Action) (answered bool) {
	for len(actions) > 0 {
		action := actions[0]
		actions = actions[1:]
		switch action := action.(type) {
		case coordinator.Assign:
			actions = append(actions, e.machine.Step(e.now, coordinator.TaskDone{Agent: action.Agent, Key: action.Key, Epoch: action.Epoch,
				Body: make([]byte, payload), RunTime: 500 * time.Millisecond})...)
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
