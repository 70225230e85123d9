package transcriber

import (
	"maps"
	"slices"
	"time"

	"oleandertally/agent/executor"
	"oleandertally/core/recorder"
	"oleandertally/core/specifier"
	"oleandertally/entry/coordinator"
)

func (s *Session) stepEntry(e *entryNode, event coordinator.Event) {
	s.performEntry(e, e.machine.Step(s.now, event))
}

func (s *Session) stepAgent(a *agentNode, event executor.Event) {
	s.performAgent(a, a.machine.Step(s.now, event))
}

func (s *Session) performEntry(e *entryNode, actions []coordinator.Action) {
	stream := uint64(e.id.Incarnation)
	for _, action := range actions {
		switch action := action.(type) {
		case coordinator.RecordEvent:
			s.recordEvent(e.id, action.Event)
		case coordinator.Propose:
			s.propose(e, action.Command)
		case coordinator.Reply:
			s.reply(e, action)
		case coordinator.AskOwner:
			s.askOwner(e, action)
		case coordinator.Assign:
			s.toAgent(e, action.Agent, executor.Assigned{Entry: e.id, Stream: stream, Key: action.Key, Epoch: action.Epoch,
				Payload: action.Payload, Order: action.Order, Deadline: action.Deadline, Profile: action.Profile})
		case coordinator.Withdraw:
			s.toAgent(e, action.Agent, executor.Withdrawn{Entry: e.id, Stream: stream, Job: action.Job, Epoch: action.Epoch})
		case coordinator.Fence:
			s.toAgent(e, action.Agent, executor.Fenced{Entry: e.id, Stream: stream, Job: action.Job, Epoch: action.Epoch,
				Deadline: action.Deadline, Mark: action.Mark})
		}
	}
}

// propose commits the command, even if the entry terminates meanwhile.
func (s *Session) propose(e *entryNode, command specifier.Command) {
	id := e.id
	s.after(s.site.Commit, func() {
		decision := s.apply(command)
		if e.alive && e.id == id {
			s.stepEntry(e, coordinator.Decided{Command: command, Decision: decision})
		}
	})
}

func (s *Session) reply(e *entryNode, reply coordinator.Reply) {
	if answer := e.ownerRequests[reply.Waiter]; answer != nil {
		delete(e.ownerRequests, reply.Waiter)
		answer(reply)
		return
	}
	caller := e.callers[reply.Waiter]
	delete(e.callers, reply.Waiter)
	s.logf("%s: %s answers %s", caller, e.id.Name, recorder.FormatAnswer(reply.Answer))
	for _, result := range reply.Answer.Results {
		s.logf("%s:   %s: %s", caller, result.Task, result.Body)
	}
}

// askOwner sends a question to the entry incarnation that owns the job.
func (s *Session) askOwner(e *entryNode, question coordinator.AskOwner) {
	answer := func(reply coordinator.Reply) {
		s.after(s.site.Hop, func() {
			if e.alive {
				s.stepEntry(e, coordinator.OwnerAnswered{Job: question.Job, Owner: question.Owner, Unavailable: reply.NotOwner, Answer: reply.Answer})
			}
		})
	}
	s.after(s.site.Hop, func() {
		for _, owner := range s.entries {
			if owner.alive && owner.id == question.Owner {
				waiter := coordinator.Waiter(s.nextNumber())
				owner.ownerRequests[waiter] = answer
				s.stepEntry(owner, coordinator.AnswerRequested{Waiter: waiter, Job: question.Job, Digest: question.Digest, Cancel: question.Cancel})
				return
			}
		}
		answer(coordinator.Reply{NotOwner: true})
	})
}

func (s *Session) toAgent(e *entryNode, id specifier.Identity, event executor.Event) {
	s.after(s.site.Hop, func() {
		for _, a := range s.agents {
			if a.alive && a.id == id {
				s.stepAgent(a, event)
			}
		}
	})
}

func (s *Session) performAgent(a *agentNode, actions []executor.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case executor.RecordEvent:
			s.recordEvent(a.id, action.Event)
		case executor.Run:
			s.runTask(a, action)
		case executor.Done:
			s.toEntry(action.Entry, coordinator.TaskDone{Agent: a.id, Key: action.Key, Epoch: action.Epoch, Broken: action.Broken,
				Body: action.Body, Detail: action.Detail, RunTime: action.RunTime}, coordinator.LoadReceived{Agent: a.id, Load: action.Load})
		case executor.Refused:
			s.toEntry(action.Entry, coordinator.TaskRefused{Agent: a.id, Key: action.Key, Epoch: action.Epoch, Cause: string(action.Cause)},
				coordinator.LoadReceived{Agent: a.id, Load: action.Load})
		case executor.Report:
			s.toEntry(action.Entry, coordinator.ReportReceived{Agent: a.id, Job: action.Job, Epoch: action.Epoch, Tasks: action.Tasks, Mark: action.Mark})
		case executor.SendLoad:
			s.toEntry(action.Entry, coordinator.LoadReceived{Agent: a.id, Load: action.Load})
		case executor.Announce:
			for _, e := range s.entries {
				s.toEntry(e.id, coordinator.LoadReceived{Agent: a.id, Load: action.Load})
			}
		}
	}
}

// runTask acts as the upstream. The payload is the run time of the task.
func (s *Session) runTask(a *agentNode, run executor.Run) {
	id := a.id
	duration, err := time.ParseDuration(string(run.Payload))
	ended := executor.RunEnded{Key: run.Key, Broken: err != nil, Body: []byte("done by " + id.Name)}
	if err != nil {
		ended.Body, ended.Detail = nil, "the payload is not a duration"
	}
	s.after(duration, func() {
		if a.alive && a.id == id {
			s.stepAgent(a, ended)
		}
	})
}

func (s *Session) toEntry(id specifier.Identity, events ...coordinator.Event) {
	s.after(s.site.Hop, func() {
		for _, e := range s.entries {
			for _, event := range events {
				if e.alive && e.id == id {
					s.stepEntry(e, event)
				}
			}
		}
	})
}

func sorted[V any](m map[coordinator.Waiter]V) []coordinator.Waiter {
	return slices.Sorted(maps.Keys(m))
}
