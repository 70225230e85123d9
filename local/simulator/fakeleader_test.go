package simulator

import (
	"time"

	"oleandertally/controller/dispatcher"
)

// refusedCommands is the share of commands that the log does not take: the leader's lease has ended for a moment.
const refusedCommands = 0.03

// fakeLeader is a controller: its dispatcher, and the log without its consensus.
type fakeLeader struct {
	world   *world
	index   int
	term    uint64
	machine *dispatcher.Dispatcher
	wakeAt  time.Time
}

func (l *fakeLeader) step(event dispatcher.Event) { l.perform(l.machine.Step(l.world.now, event)) }

func (l *fakeLeader) perform(actions []dispatcher.Action) {
	w := l.world
	for _, action := range actions {
		switch action := action.(type) {
		case dispatcher.Propose:
			term := l.term
			if w.fault(refusedCommands) {
				w.after(0, func() {
					if w.leading == l.index && l.term == term {
						l.step(dispatcher.Rejected(action))
					}
				})
				continue
			}
			w.after(w.span(5*time.Millisecond, 20*time.Millisecond), func() {
				// A proposal of a leader that was deposed meanwhile is committed before the next one leads, or never.
				if w.leading == l.index && l.term == term || w.leading < 0 && w.term == term && w.chance(0.5) {
					w.commit(action.Command)
				}
			})
		case dispatcher.Order:
			for _, agent := range w.agents {
				agent.order(l, action)
			}
		case dispatcher.Reply:
			for _, caller := range w.jobs {
				caller.reply(l, action)
			}
		case dispatcher.LogEvent:
			w.tell("controller %d: %s job=%s task=%s run=%d agent=%s %s", l.index, action.Event, action.Job, action.Task, action.Run, action.Agent, action.Detail)
		}
	}
	l.arm()
}

// arm wakes the dispatcher at its next deadline.
func (l *fakeLeader) arm() {
	next := l.machine.Next()
	if next.IsZero() || next.Equal(l.wakeAt) {
		return
	}
	l.wakeAt = next
	l.world.after(max(next.Sub(l.world.now), 0), func() {
		l.wakeAt = time.Time{}
		l.perform(l.machine.Expire(l.world.now))
	})
}
