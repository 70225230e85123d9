package recorder

import "strings"

const refusedPrefix = "refused: "

// RefusedDetail returns the Detail of a TaskReturned event for a task that the agent refused.
func RefusedDetail(cause string) string { return refusedPrefix + cause }

// IsRefusal reports whether event returns a task that was not started.
func IsRefusal(event Event) bool {
	return event.Kind == TaskReturned && strings.HasPrefix(event.Detail, refusedPrefix)
}

// RefusalCause returns the cause of an event for which IsRefusal holds.
func RefusalCause(event Event) string { return strings.TrimPrefix(event.Detail, refusedPrefix) }
