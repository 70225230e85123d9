package recorder

import "time"

// Span is a period, both ends included. A zero end is open.
type Span struct {
	From time.Time
	To   time.Time
}

// Contains reports whether at lies in the span.
func (s Span) Contains(at time.Time) bool {
	return (s.From.IsZero() || !at.Before(s.From)) && (s.To.IsZero() || !at.After(s.To))
}
