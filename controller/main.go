// Controller keeps the replicated state of a site: submissions, membership and configuration.
//
//	controller -settings FILE              settings of this controller
//	controller -settings FILE -name NAME   settings of a deployment that lists it
//	controller -settings FILE -bootstrap   only the first controller of a new site, on its first start
//
// The exit code is 0 after a graceful shutdown, 1 after a component failed, 2 if the controller could not
// start, and 3 if a second signal or StopWithin cut the shutdown short.
package main

import (
	"context"
	"fmt"
	"os"

	"oleandertally/core/launcher"
	"oleandertally/core/supervisor"
)

func main() {
	signals, restore := supervisor.Signals()
	defer restore()
	err := run(context.Background(), os.Args[1:], signals, os.Stderr)
	if err != nil {
		fmt.Fprintln(os.Stderr, "controller:", err)
	}
	os.Exit(launcher.ExitCode(err))
}
