package coordinator_test

import (
	"slices"
	"time"

	"oleandertally/agent/executor"
	"oleandertally/core/recorder"
	"oleandertally/core/specifier"
	"oleandertally/entry/coordinator"
)

func (w *world) entry(e *entryNode, event coordinator.Event) {
	w.perform(e, e.machine.Step(w.now, event))
}

func (w *world) agent(a *agentNode, event executor.Event) {
	w.performAgent(a, a.machine.Step(w.now, event))
}

func (w *world) record(process specifier.Identity, event recorder.Event) {
	w.counts[process.String()]++
	event.At, event.Process, event.Sequence = w.now, process.String(), w.counts[process.String()]
	w.events = append(w.events, event)
}

func (w *world) perform(e *entryNode, actions []coordinator.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case coordinator.RecordEvent:
			w.record(e.process, action.Event)
		case coordinator.Propose:
			e.pending = append(e.pending, action.Command)
		case coordinator.Drained:
			e.drained = true
		case coordinator.ReleaseAgent:
			w.toAgent(e, action.Agent, func(l *linkPair) executor.Event { return executor.Released{Entry: e.id, Link: l.number} })
		case coordinator.Reply:
			w.reply(e, action)
		case coordinator.AskOwner:
			w.askOwner(e, action)
		case coordinator.Assign:
			w.toAgent(e, action.Agent, func(l *linkPair) executor.Event {
				return executor.Assigned{Entry: e.id, Link: l.number, Key: action.Key, Epoch: action.Epoch, Payload: action.Payload,
					Order: action.Order, Deadline: action.Deadline, Profile: action.Profile}
			})
		case coordinator.Withdraw:
			w.toAgent(e, action.Agent, func(l *linkPair) executor.Event {
				return executor.Withdrawn{Entry: e.id, Link: l.number, Job: action.Job, Epoch: action.Epoch}
			})
		case coordinator.Fence:
			w.toAgent(e, action.Agent, func(l *linkPair) executor.Event {
				return executor.Fenced{Entry: e.id, Link: l.number, Job: action.Job, Epoch: action.Epoch, Deadline: action.Deadline, Mark: action.Mark}
			})
		}
	}
}

func (w *world) reply(e *entryNode, reply coordinator.Reply) {
	if question, ok := e.asks[reply.Waiter]; ok {
		delete(e.asks, reply.Waiter)
		if question.from.alive && question.from.id.Name == question.id.Name {
			w.entry(question.from, coordinator.OwnerAnswered{Job: question.job, Owner: e.id, Unavailable: reply.NotOwner, Answer: reply.Answer})
		}
		return
	}
	w.replies[reply.Waiter] = append(w.replies[reply.Waiter], reply.Answer)
}

func (w *world) askOwner(e *entryNode, question coordinator.AskOwner) {
	for _, owner := range w.entries {
		if owner.alive && owner.id == question.Owner {
			waiter := coordinator.Waiter(w.next())
			owner.asks[waiter] = ask{from: e, id: e.id, job: question.Job}
			w.entry(owner, coordinator.AnswerRequested{Waiter: waiter, Job: question.Job, Digest: question.Digest, Cancel: question.Cancel})
			return
		}
	}
	w.entry(e, coordinator.OwnerAnswered{Job: question.Job, Owner: question.Owner, Unavailable: true})
}

func (w *world) performAgent(a *agentNode, actions []executor.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case executor.Note:
			w.record(a.id, action.Event)
		case executor.Run:
			a.running = append(a.running, action)
		case executor.Done:
			w.toEntry(a, action.Entry, coordinator.TaskDone{Agent: a.id, Key: action.Key, Epoch: action.Epoch, Broken: action.Broken,
				Body: action.Body, Detail: action.Detail, RunTime: action.RunTime})
			w.toEntry(a, action.Entry, coordinator.LoadReceived{Agent: a.id, Load: action.Load})
		case executor.Refused:
			w.toEntry(a, action.Entry, coordinator.TaskRefused{Agent: a.id, Key: action.Key, Epoch: action.Epoch, Cause: string(action.Cause)})
			w.toEntry(a, action.Entry, coordinator.LoadReceived{Agent: a.id, Load: action.Load})
		case executor.Report:
			w.toEntry(a, action.Entry, coordinator.ReportReceived{Agent: a.id, Job: action.Job, Epoch: action.Epoch, Tasks: action.Tasks, Mark: action.Mark})
		case executor.Greet:
			w.toEntry(a, action.Entry, coordinator.LoadReceived{Agent: a.id, Load: action.Load})
		case executor.RequestRelease:
			w.toEntry(a, action.Entry, coordinator.LoadReceived{Agent: a.id, Load: action.Load})
			w.toEntry(a, action.Entry, coordinator.AgentLeaving{Agent: a.id})
		case executor.Left:
			a.left = true
		case executor.Announce:
			for _, e := range w.entries {
				w.toEntry(a, e.id, coordinator.LoadReceived{Agent: a.id, Load: action.Load})
			}
		}
	}
}

// decide commits the entry's oldest command. When the decision is lost, the command is sent again.
func (w *world) decide(e *entryNode, lost bool) {
	if !e.alive || e.cut || len(e.pending) == 0 {
		return
	}
	command := e.pending[0]
	decision := w.apply(command)
	if lost {
		return
	}
	e.pending = e.pending[1:]
	w.entry(e, coordinator.Decided{Command: command, Decision: decision})
}

func (w *world) submit(e *entryNode, job specifier.Job) coordinator.Waiter {
	waiter := coordinator.Waiter(w.next())
	w.asked[waiter], w.askedAt[waiter], w.askedOf[waiter] = true, e.process, job.ID
	job.Deadline = w.now.Add(6 * time.Second)
	w.entry(e, coordinator.Submitted{Waiter: waiter, Job: job})
	return waiter
}

func (w *world) cancel(e *entryNode, id specifier.JobID) {
	w.entry(e, coordinator.CancelRequested{Waiter: coordinator.Waiter(w.next()), Job: id})
}

// endRun ends one call of an agent to its upstream.
func (w *world) endRun(a *agentNode, i int, ended executor.RunEnded) {
	run := a.running[i]
	a.running = slices.Delete(a.running, i, i+1)
	ended.Key = run.Key
	if !ended.NotStarted && !ended.Broken {
		ended.Body = []byte("result of " + run.Key.Task)
	}
	w.agent(a, ended)
}
