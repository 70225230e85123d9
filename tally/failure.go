package main

import (
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/google/subcommands"

	"oleandertally/core/operator"
)

// failure is an error with its exit code and a hint about what to do next.
type failure struct {
	status  subcommands.ExitStatus
	message string
	next    string // the hint; may be empty
}

// Error returns the message and, on a line of its own, what to do next.
func (f *failure) Error() string {
	if f.next == "" {
		return f.message
	}
	return f.message + "\n  next: " + f.next
}

// fail returns a failure with a formatted message.
func fail(status subcommands.ExitStatus, next, format string, args ...any) error {
	return &failure{status: status, message: fmt.Sprintf(format, args...), next: next}
}

// explain converts the errors of operator.Client for which there is a hint into failures.
func explain(err error) error {
	var unreachable *operator.UnreachableError
	switch {
	case errors.As(err, &unreachable):
		return fail(exitUnreachable, "check the addresses of -controllers, and that a majority of the controllers runs", "%v", err)
	case errors.Is(err, operator.ErrRevisionUnavailable):
		return fail(exitFailed, "use a newer revision, or apply a saved file with: tally profiles apply FILE", "%v", err)
	}
	return err
}
