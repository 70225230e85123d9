package driver

import (
	"time"

	"oleandertally/core/operator"
	"oleandertally/core/specifier"
)

// maxHistory is how many configurations are kept for operators. One of 1024 profiles is about 200 KiB.
const maxHistory = 64

// read answers from the leader's state. The leader's lease ensures that no other controller has
// accepted a newer change.
func (d *Driver) read(now time.Time, request Read) {
	answer := ReadAnswered{Ticket: request.Ticket}
	if !d.Node.Leading(now) {
		answer.Err = &operator.NotLeaderError{Leader: d.leader}
	} else {
		answer.State, answer.Err = d.state(now, request.Revision)
	}
	d.actions = append(d.actions, Action{Read: &answer})
}

func (d *Driver) state(now time.Time, revision specifier.Revision) (operator.State, error) {
	registrar := d.Sequencer.Registrar
	state := operator.State{Configuration: registrar.Configuration(), Operator: registrar.LastOperator(), Members: registrar.Members(),
		Controllers: d.controllers(now)}
	for _, zone := range d.Dispatcher.Zones() {
		state.QueueZones = append(state.QueueZones, operator.QueueZone{Name: zone.Name, Workers: zone.Workers, Evacuated: zone.Evacuated})
	}
	loads := d.Sequencer.Loads()
	for _, member := range state.Members {
		if load, known := loads[member.Identity]; known {
			state.Loads = append(state.Loads, operator.MemberLoad{Identity: member.Identity, Load: load})
		}
	}
	if revision == 0 || revision == state.Configuration.Revision {
		return state, nil
	}
	var err error
	state.Configuration, err = d.history.At(revision)
	return state, err
}

// controllers lists the servers in force as the leader knows them.
func (d *Driver) controllers(now time.Time) []operator.ControllerStatus {
	var list []operator.ControllerStatus
	peers := d.Node.Peers()
	for _, server := range d.servers {
		status := operator.ControllerStatus{Name: server.ID.Name, Addr: server.Addr, Learner: !server.Voter, Term: uint64(d.Node.Term())}
		if server.ID == d.Node.Self {
			status.Leading, status.Zone = true, d.Zone
			status.CommitIndex, status.AppliedIndex = uint64(d.Node.Commit()), uint64(d.Node.Applied())
			status.SyncedIndex = uint64(d.Node.Synced())
		}
		for _, peer := range peers {
			if peer.ID == server.ID {
				status.SyncedIndex, status.SinceHeard = uint64(peer.Synced), now.Sub(peer.LastContact)
			}
		}
		list = append(list, status)
	}
	return list
}

// addToHistory keeps the configuration in force for operators who later ask for its revision.
func (d *Driver) addToHistory() {
	configuration := d.Sequencer.Registrar.Configuration()
	if configuration.Revision == d.historyRevision {
		return
	}
	d.historyRevision = configuration.Revision
	d.history.Cap = maxHistory
	d.history.Add(configuration)
}
