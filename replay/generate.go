package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/subcommands"

	"oleandertally/replay/tracer"
)

// generateCommand writes the traces of the comparison to a folder.
type generateCommand struct {
	folder string
	seed   uint64
	length time.Duration
}

// Name returns the name of the command.
func (*generateCommand) Name() string { return "generate" }

// Synopsis describes the command in a line.
func (*generateCommand) Synopsis() string { return "write generated traces to a folder" }

// Usage describes the command.
func (*generateCommand) Usage() string { return "generate [-folder DIR] [-seed N] [-length D]\n" }

// SetFlags defines the flags.
func (c *generateCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&c.folder, "folder", "examples/traces", "folder to write to")
	flags.Uint64Var(&c.seed, "seed", 1, "seed of the generator")
	flags.DurationVar(&c.length, "length", 30*time.Second, "time in which jobs arrive")
}

// Execute writes the traces.
func (c *generateCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	for _, trace := range tracer.Catalog(c.seed, c.length) {
		if err := c.write(trace); err != nil {
			fmt.Fprintln(os.Stderr, "replay:", err)
			return subcommands.ExitFailure
		}
	}
	return subcommands.ExitSuccess
}

func (c *generateCommand) write(trace tracer.Trace) (err error) {
	file, err := os.Create(filepath.Join(c.folder, trace.Name+".jsonl"))
	if err != nil {
		return errors.Wrap(err, "create trace")
	}
	defer func() { err = errors.CombineErrors(err, file.Close()) }()
	return tracer.Write(file, trace)
}
