package registrar

import (
	"time"

	"oleandertally/core/specifier"
)

// requests stores the decisions on configuration changes for RequestRetention. Beyond MaxRequests
// the oldest is evicted. A resend of an expired change is decided again; the change cannot be applied
// twice, because it was made from a revision that is no longer the current one.
type requests struct {
	byID  map[string]request
	order []string // oldest first
}

func (q *requests) find(id string) (request, bool) {
	found, ok := q.byID[id]
	return found, ok
}

func (q *requests) add(added request) {
	if len(q.order) >= specifier.MaxRequests {
		q.evictOldest(1)
	}
	q.byID[added.id] = added
	q.order = append(q.order, added.id)
}

// expire removes the expired requests. The requests are in the order of their expiry.
func (q *requests) expire(now time.Time) {
	count := 0
	for count < len(q.order) && !q.byID[q.order[count]].keepUntil.After(now) {
		count++
	}
	if count > 0 {
		q.evictOldest(count)
	}
}

func (q *requests) evictOldest(count int) {
	for _, id := range q.order[:count] {
		delete(q.byID, id)
	}
	q.order = append(q.order[:0], q.order[count:]...)
}

// findByRevision returns the request that created the revision.
func (q *requests) findByRevision(revision specifier.Revision) (request, bool) {
	for _, id := range q.order {
		candidate := q.byID[id]
		if candidate.decision.Verdict == specifier.Applied && candidate.decision.Revision == revision {
			return candidate, true
		}
	}
	return request{}, false
}
