package simulator

import (
	"time"

	"oleandertally/controller/dispatcher"
)

// droppedProposalShare is the share of proposals that the log drops, as when the leader's lease has briefly expired.
const droppedProposalShare = 0.03

// fakeLeader is a controller that runs a real dispatcher on a replicated log without consensus.
type fakeLeader struct {
	world   *world
	index   int
	term    uint64
	machine *dispatcher.Dispatcher
	wakeAt  time.Time
	lastAt  time.Time // when the last of its proposals is committed, if it is
}

func (l *fakeLeader) step(event dispatcher.Event) { l.perform(l.machine.Step(l.world.now, event)) }

func (l *fakeLeader) perform(actions []dispatcher.Action) {
	w := l.world
	for _, action := range actions {
		switch action := action.(type) {
		case dispatcher.Propose:
			term := l.term
			if w.faultOccurs(droppedProposalShare) {
				w.after(0, func() {
					if w.leaderIndex == l.index && l.term == term {
						l.step(dispatcher.Rejected{Command: action.Command})
					}
				})
				continue
			}
			delay := w.commitDelay()
			if w.announcing { // the log keeps the order, on which announcements rely
				delay = max(delay, l.lastAt.Sub(w.now))
				l.lastAt = w.now.Add(delay)
			}
			w.after(delay, func() {
				// A proposal of a leader that was deposed meanwhile is committed before the next election, or never.
				if w.leaderIndex == l.index && l.term == term || w.leaderIndex < 0 && w.term == term && w.chance(0.5) {
					w.commit(action.Command)
				}
			})
		case dispatcher.Order:
			for _, agent := range w.agents {
				agent.deliverOrder(l, action)
			}
		case dispatcher.Reply:
			for _, caller := range w.callers {
				caller.handleReply(l, action)
			}
			for _, canceller := range w.cancellers {
				canceller.handleReply(l, action)
			}
			for _, operator := range w.operators {
				operator.handleReply(l, action)
			}
		case dispatcher.LogEvent:
			w.logf("controller %d: %s job=%s task=%s run=%d agent=%s %s", l.index, action.Event, action.Job, action.Task, action.Run, action.Agent, action.Detail)
		}
	}
	l.setTimer()
}

// setTimer schedules a call of Expire at the dispatcher's next deadline.
func (l *fakeLeader) setTimer() {
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
