package launcher

import (
	"github.com/cockroachdb/errors"

	"oleandertally/core/supervisor"
)

// The exit codes of the programs.
const (
	ExitStopped  = 0 // complete shutdown
	ExitFailed   = 1 // a part failed; the rest was shut down gracefully
	ExitSettings = 2 // the arguments, the settings or a resource named there can't be used; nothing was served
	ExitCutOff   = 3 // the shutdown was aborted by a second signal or after StopWithin
)

// ErrSettings marks the errors of a process that could not start.
var ErrSettings = errors.New("the process can't start")

// ExitCode returns the exit code for the error that a program returned.
func ExitCode(err error) int {
	var cut *supervisor.CutOffError
	switch {
	case err == nil:
		return ExitStopped
	case errors.As(err, &cut):
		return ExitCutOff
	case errors.Is(err, ErrSettings):
		return ExitSettings
	}
	return ExitFailed
}
