package leaserunner

import "strings"

// jobOf returns the ID of the job of a task.
func jobOf(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}
