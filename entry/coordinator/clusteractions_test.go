package coordinator_test

import (
	"slices"
	"time"

	"oleandertally/agent/executor"
	"oleandertally/core/recorder"
	"oleandertally/core/specifier"
	"oleandertally/entry/coordinator"
)

func (c *cluster) stepEntry(e *entryNode, event coordinator.Event) {
	c.perform(e, e.machine.Step(c.now, event))
}

func (c *cluster) stepAgent(a *agentNode, event executor.Event) {
	c.performAgent(a, a.machine.Step(c.now, event))
}

func (c *cluster) recordEvent(process specifier.Identity, event recorder.Event) {
	c.sequences[process.String()]++
	event.At, event.Process, event.Sequence = c.now, process.String(), c.sequences[process.String()]
	c.events = append(c.events, event)
}

func (c *cluster) perform(e *entryNode, actions []coordinator.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case coordinator.RecordEvent:
			c.recordEvent(e.process, action.Event)
		case coordinator.Propose:
			e.proposals = append(e.proposals, action.Command)
		case coordinator.Drained:
			e.drained = true
		case coordinator.ReleaseAgent:
			c.sendToAgent(e, action.Agent, func(s *agentStream) executor.Event { return executor.Released{Entry: e.id, Stream: s.number} })
		case coordinator.Reply:
			c.reply(e, action)
		case coordinator.AskOwner:
			c.askOwner(e, action)
		case coordinator.Assign:
			c.sendToAgent(e, action.Agent, func(s *agentStream) executor.Event {
				return executor.Assigned{Entry: e.id, Stream: s.number, Key: action.Key, Epoch: action.Epoch, Payload: action.Payload,
					Order: action.Order, Deadline: action.Deadline, Profile: action.Profile}
			})
		case coordinator.Withdraw:
			c.sendToAgent(e, action.Agent, func(s *agentStream) executor.Event {
				return executor.Withdrawn{Entry: e.id, Stream: s.number, Job: action.Job, Epoch: action.Epoch}
			})
		case coordinator.Fence:
			c.sendToAgent(e, action.Agent, func(s *agentStream) executor.Event {
				return executor.Fenced{Entry: e.id, Stream: s.number, Job: action.Job, Epoch: action.Epoch, Deadline: action.Deadline, Mark: action.Mark}
			})
		}
	}
}

func (c *cluster) reply(e *entryNode, reply coordinator.Reply) {
	if question, ok := e.questions[reply.Waiter]; ok {
		delete(e.questions, reply.Waiter)
		if question.from.alive && question.from.id.Name == question.id.Name {
			c.stepEntry(question.from, coordinator.OwnerAnswered{Job: question.job, Owner: e.id, Unavailable: reply.NotOwner, Answer: reply.Answer})
		}
		return
	}
	c.replies[reply.Waiter] = append(c.replies[reply.Waiter], reply.Answer)
}

func (c *cluster) askOwner(e *entryNode, question coordinator.AskOwner) {
	for _, owner := range c.entries {
		if owner.alive && owner.id == question.Owner {
			waiter := coordinator.Waiter(c.nextID())
			owner.questions[waiter] = ownerQuestion{from: e, id: e.id, job: question.Job}
			c.stepEntry(owner, coordinator.AnswerRequested{Waiter: waiter, Job: question.Job, Digest: question.Digest, Cancel: question.Cancel})
			return
		}
	}
	c.stepEntry(e, coordinator.OwnerAnswered{Job: question.Job, Owner: question.Owner, Unavailable: true})
}

func (c *cluster) performAgent(a *agentNode, actions []executor.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case executor.RecordEvent:
			c.recordEvent(a.id, action.Event)
		case executor.Run:
			a.running = append(a.running, action)
		case executor.Done:
			c.sendToEntry(a, action.Entry, coordinator.TaskDone{Agent: a.id, Key: action.Key, Epoch: action.Epoch, Broken: action.Broken,
				Body: action.Body, Detail: action.Detail, RunTime: action.RunTime})
			c.sendToEntry(a, action.Entry, coordinator.LoadReceived{Agent: a.id, Load: action.Load})
		case executor.Refused:
			c.sendToEntry(a, action.Entry, coordinator.TaskRefused{Agent: a.id, Key: action.Key, Epoch: action.Epoch, Cause: string(action.Cause)})
			c.sendToEntry(a, action.Entry, coordinator.LoadReceived{Agent: a.id, Load: action.Load})
		case executor.Report:
			c.sendToEntry(a, action.Entry, coordinator.ReportReceived{Agent: a.id, Job: action.Job, Epoch: action.Epoch, Tasks: action.Tasks, Mark: action.Mark})
		case executor.SendLoad:
			c.sendToEntry(a, action.Entry, coordinator.LoadReceived{Agent: a.id, Load: action.Load})
		case executor.RequestRelease:
			c.sendToEntry(a, action.Entry, coordinator.LoadReceived{Agent: a.id, Load: action.Load})
			c.sendToEntry(a, action.Entry, coordinator.AgentLeaving{Agent: a.id})
		case executor.AllReleased:
			a.released = true
		case executor.Announce:
			for _, e := range c.entries {
				c.sendToEntry(a, e.id, coordinator.LoadReceived{Agent: a.id, Load: action.Load})
			}
		}
	}
}

// decide commits the entry's oldest command. If lost is set, the entry does not learn the decision and resends the command.
func (c *cluster) decide(e *entryNode, lost bool) {
	if !e.alive || e.partitioned || len(e.proposals) == 0 {
		return
	}
	command := e.proposals[0]
	decision := c.apply(command)
	if lost {
		return
	}
	e.proposals = e.proposals[1:]
	c.stepEntry(e, coordinator.Decided{Command: command, Decision: decision})
}

func (c *cluster) submit(e *entryNode, job specifier.Job) coordinator.Waiter {
	waiter := coordinator.Waiter(c.nextID())
	c.openRequests[waiter], c.requestEntry[waiter], c.requestJob[waiter] = true, e.process, job.ID
	job.Deadline = c.now.Add(6 * time.Second)
	c.stepEntry(e, coordinator.Submitted{Waiter: waiter, Job: job})
	return waiter
}

func (c *cluster) cancel(e *entryNode, id specifier.JobID) {
	c.stepEntry(e, coordinator.CancelRequested{Waiter: coordinator.Waiter(c.nextID()), Job: id})
}

// endRun ends one upstream call of an agent.
func (c *cluster) endRun(a *agentNode, i int, ended executor.RunEnded) {
	run := a.running[i]
	a.running = slices.Delete(a.running, i, i+1)
	ended.Key = run.Key
	if !ended.NotStarted && !ended.Broken {
		ended.Body = []byte("result of " + run.Key.Task)
	}
	c.stepAgent(a, ended)
}
