package supervisor

import (
	"fmt"
	"strings"
)

// CutOffError is the error of a graceful shutdown that was aborted before everything had stopped.
type CutOffError struct {
	Cause error    // ErrStopDeadline or ErrInterrupted
	Steps []string // names of the steps that did not finish
	Parts []string // names of the parts that were still running
}

// Error returns the cause and the names of the unfinished steps and running parts.
func (c *CutOffError) Error() string {
	return fmt.Sprintf("shutdown cut off: %v; steps not finished: %s; parts still running: %s",
		c.Cause, joinOrNone(c.Steps), joinOrNone(c.Parts))
}

// Unwrap returns the cause.
func (c *CutOffError) Unwrap() error { return c.Cause }

func joinOrNone(names []string) string {
	if len(names) == 0 {
		return "none"
	}
	return strings.Join(names, ", ")
}
