package main

import (
	"context"
	"flag"
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/google/subcommands"
)

// adapter adapts a command to the interface of google/subcommands.
type adapter struct {
	command
	env *environment
}

// Name returns the name of the command.
func (a *adapter) Name() string { return a.name() }

// Synopsis returns the second line of the usage text.
func (a *adapter) Synopsis() string {
	lines := strings.SplitN(a.usage(), "\n", 3)
	return strings.TrimSpace(lines[1])
}

// Usage returns the whole usage text.
func (a *adapter) Usage() string { return a.usage() }

// SetFlags adds the flags of the command.
func (a *adapter) SetFlags(f *flag.FlagSet) {
	f.SetOutput(a.env.stderr)
	a.setFlags(f)
}

// Execute runs the command and prints its error.
func (a *adapter) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	err := a.run(ctx, f.Args())
	if err == nil {
		return exitDone
	}
	fmt.Fprintf(a.env.stderr, "tally: %v\n", err)
	var failed *failure
	if errors.As(err, &failed) {
		return failed.status
	}
	return exitFailed
}
