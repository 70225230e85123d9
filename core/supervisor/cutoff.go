package supervisor

import (
	"fmt"
	"strings"
)

// CutOff is the error of a shutdown that ended before everything had stopped.
type CutOff struct {
	Cause error    // ErrStopDeadline or ErrInterrupted
	Steps []string // not finished
	Parts []string // still running
}

// Error names what was cut off.
func (c *CutOff) Error() string {
	return fmt.Sprintf("shutdown cut off: %v; steps not finished: %s; parts still running: %s",
		c.Cause, listed(c.Steps), listed(c.Parts))
}

// Unwrap returns the cause.
func (c *CutOff) Unwrap() error { return c.Cause }

func listed(names []string) string {
	if len(names) == 0 {
		return "none"
	}
	return strings.Join(names, ", ")
}
