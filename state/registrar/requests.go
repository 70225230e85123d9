package registrar

import (
	"time"

	"oleandertally/core/specifier"
)

// requests remembers decided configuration changes for RequestRetention, at most MaxRequests of
// them: the oldest is forgotten first. A resend of a forgotten change is decided anew. It
// cannot be applied twice, because the revision that it was made from is past.
type requests struct {
	byID  map[string]request
	order []string // oldest first
}

func (q *requests) find(id string) (request, bool) {
	known, ok := q.byID[id]
	return known, ok
}

func (q *requests) add(added request) {
	if len(q.order) >= specifier.MaxRequests {
		q.drop(1)
	}
	q.byID[added.id] = added
	q.order = append(q.order, added.id)
}

// forget drops the requests whose time is over; they are in the order of their times.
func (q *requests) forget(now time.Time) {
	count := 0
	for count < len(q.order) && !q.byID[q.order[count]].keep.After(now) {
		count++
	}
	if count > 0 {
		q.drop(count)
	}
}

func (q *requests) drop(count int) {
	for _, id := range q.order[:count] {
		delete(q.byID, id)
	}
	q.order = append(q.order[:0], q.order[count:]...)
}

// made returns the change that made revision.
func (q *requests) made(revision specifier.Revision) (request, bool) {
	for _, id := range q.order {
		known := q.byID[id]
		if known.decision.Verdict == specifier.Applied && known.decision.Revision == revision {
			return known, true
		}
	}
	return request{}, false
}
