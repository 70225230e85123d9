package leaserunner

import "strings"

// jobOf returns the ID of the job to which a task belongs.
func jobOf(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}
