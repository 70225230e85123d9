package dispatcher

import "slices"

// missedRooms holds what fitted at no worker of a pool in one placement. A task that needs as much or more of everything does not fit
// either, and is not tried.
type missedRooms struct {
	rooms []missedRoom
}

// note adds a task that found no worker. One that only some workers may run tells nothing of the others.
func (m *missedRooms) note(t *task) {
	step := t.job.Steps[t.step]
	if step.Label == "" && step.PerWorker == 0 && !m.covers(t) {
		m.rooms = append(m.rooms, missedRoom{t.job.queue.Pool, step.Resources})
	}
}

func (m *missedRooms) covers(t *task) bool {
	return slices.ContainsFunc(m.rooms, func(missed missedRoom) bool {
		return missed.pool == t.job.queue.Pool && missed.room.Fits(t.job.Steps[t.step].Resources)
	})
}
