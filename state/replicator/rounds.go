package replicator

import "time"

// rounds stores when each recent heartbeat round began. Messages carry the number of a round instead of a time, so that
// the leader measures its lease on its own clock, from the time of sending.
type rounds struct {
	first uint64
	times []time.Time
}

// begin starts a round and deletes the rounds that began before horizon.
func (r *rounds) begin(now, horizon time.Time) {
	for len(r.times) > 0 && r.times[0].Before(horizon) {
		r.times = r.times[1:]
		r.first++
	}
	r.times = append(r.times, now)
}

// current returns the number of the newest round.
func (r *rounds) current() uint64 { return r.first + uint64(len(r.times)) - 1 }

// startOf returns when a round began, or the zero time if the round was deleted or is unknown.
func (r *rounds) startOf(round uint64) time.Time {
	if round < r.first || round > r.current() {
		return time.Time{}
	}
	return r.times[round-r.first]
}
