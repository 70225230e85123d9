package replicator

import "time"

// rounds remembers when each heartbeat round began. Messages carry the number of a round instead of a time: the
// leader measures its lease on its own clock, from the moment of sending.
type rounds struct {
	first uint64
	times []time.Time
}

// begin starts a round and forgets those before horizon.
func (r *rounds) begin(now, horizon time.Time) {
	for len(r.times) > 0 && r.times[0].Before(horizon) {
		r.times = r.times[1:]
		r.first++
	}
	r.times = append(r.times, now)
}

// current returns the number of the newest round.
func (r *rounds) current() uint64 { return r.first + uint64(len(r.times)) - 1 }

// sent returns when a round began, or the zero time when it is forgotten or unknown.
func (r *rounds) startOf(round uint64) time.Time {
	if round < r.first || round > r.current() {
		return time.Time{}
	}
	return r.times[round-r.first]
}
