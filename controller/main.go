// Controller keeps the replicated state of a site: submissions, membership and configuration.
//
//	controller -settings FILE              settings of this controller
//	controller -settings FILE -name NAME   settings of a deployment that lists it
//	controller -settings FILE -bootstrap   only the first controller of a new site, on its first start
//
// It exits with 0 after a shutdown that cut nothing off, 1 after the failure of a part, 2 when it could not
// start, and 3 when the shutdown was cut off by a second signal or by StopWithin.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/cockroachdb/errors"

	"oleandertally/core/supervisor"
)

const (
	exitStopped = 0
	exitFailed  = 1
	exitNoStart = 2
	exitCutOff  = 3
)

// errNoStart marks the errors of a controller that served nothing.
var errNoStart = errors.New("the controller can't start")

func main() {
	signals, restore := supervisor.Signals()
	defer restore()
	err := run(context.Background(), os.Args[1:], signals, os.Stderr)
	if err != nil {
		fmt.Fprintln(os.Stderr, "controller:", err)
	}
	os.Exit(exitCode(err))
}

func exitCode(err error) int {
	var cut *supervisor.CutOff
	switch {
	case err == nil:
		return exitStopped
	case errors.As(err, &cut):
		return exitCutOff
	case errors.Is(err, errNoStart):
		return exitNoStart
	}
	return exitFailed
}
