package main

import (
	"fmt"
	"strings"
)

// stopProgress is the progress of a stop, as -json prints it.
type stopProgress struct {
	Ended   int
	Waiting []string // names of the members that have not ended
	Running int      // tasks, counted where the load is known
	Queued  int
}

func (p stopProgress) isDone() bool { return len(p.Waiting) == 0 }

// String returns the progress as one line.
func (p stopProgress) String() string {
	return fmt.Sprintf("%d of %d members have ended, %d tasks run, %d wait", p.Ended, p.Ended+len(p.Waiting), p.Running, p.Queued)
}

// waitingNames returns the names of the members that have not ended, at most ten of them.
func (p stopProgress) waitingNames() string {
	const shown = 10
	if len(p.Waiting) <= shown {
		return strings.Join(p.Waiting, ", ")
	}
	return fmt.Sprintf("%s and %d more", strings.Join(p.Waiting[:shown], ", "), len(p.Waiting)-shown)
}
