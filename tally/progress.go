package main

import (
	"fmt"
	"strings"
)

// progress is how far a stop came.
type progress struct {
	Ended   int
	Waiting []string // members that have not ended
	Running int      // tasks, where the load is known
	Queued  int
}

func (p progress) isDone() bool { return len(p.Waiting) == 0 }

// String returns one line for people.
func (p progress) String() string {
	return fmt.Sprintf("%d of %d members have ended, %d tasks run, %d wait", p.Ended, p.Ended+len(p.Waiting), p.Running, p.Queued)
}

// names returns the members that have not ended, a few of them when there are many.
func (p progress) names() string {
	const shown = 10
	if len(p.Waiting) <= shown {
		return strings.Join(p.Waiting, ", ")
	}
	return fmt.Sprintf("%s and %d more", strings.Join(p.Waiting[:shown], ", "), len(p.Waiting)-shown)
}
