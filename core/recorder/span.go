package recorder

import "time"

// Span is a period of time that includes both ends. A zero From or To leaves that end open.
type Span struct {
	From time.Time
	To   time.Time
}

// Contains reports whether at is within the span.
func (s Span) Contains(at time.Time) bool {
	return (s.From.IsZero() || !at.Before(s.From)) && (s.To.IsZero() || !at.After(s.To))
}
