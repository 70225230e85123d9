package main

import (
	"context"
	"flag"
)

// command is one command of the command line.
type command interface {
	name() string
	// usage is a short summary, the flags, then examples.
	usage() string
	setFlags(f *flag.FlagSet)
	run(ctx context.Context, args []string) error
}
