package main

import (
	"context"
	"flag"
)

// command is one command of tally.
type command interface {
	name() string
	// usage returns the usage text. Its second line is a short summary; the flags and examples follow.
	usage() string
	setFlags(f *flag.FlagSet)
	run(ctx context.Context, args []string) error
}
