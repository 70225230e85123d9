package supervisor

import (
	"fmt"
	"strings"
)

// CutOffError is the error of a shutdown that ended before everything had stopped.
type CutOffError struct {
	Cause error    // ErrStopDeadline or ErrInterrupted
	Steps []string // not finished
	Parts []string // still running
}

// Error names what was cut off.
func (c *CutOffError) Error() string {
	return fmt.Sprintf("shutdown cut off: %v; steps not finished: %s; parts still running: %s",
		c.Cause, listed(c.Steps), listed(c.Parts))
}

// Unwrap returns the cause.
func (c *CutOffError) Unwrap() error { return c.Cause }

func listed(names []string) string {
	if len(names) == 0 {
		return "none"
	}
	return strings.Join(names, ", ")
}
