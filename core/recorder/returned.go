package recorder

import "strings"

const refusedPrefix = "refused: "

// RefusedDetail returns the Detail of a TaskReturned event for a task that the agent refused.
func RefusedDetail(cause string) string { return refusedPrefix + cause }

// IsRefusal reports whether event is the return of a task that the agent refused and did not start.
func IsRefusal(event Event) bool {
	return event.Kind == TaskReturned && strings.HasPrefix(event.Detail, refusedPrefix)
}

// RefusalCause returns the cause of a refusal. IsRefusal must be true for event.
func RefusalCause(event Event) string { return strings.TrimPrefix(event.Detail, refusedPrefix) }
