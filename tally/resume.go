package main

import (
	"context"
	"flag"
)

const resumeUsage = `tally resume [flags] [NAME ...]
  Puts drained members into service again. With -zone, the queues also start tasks in the zone again.

Flags:
` + memberFlags + requestFlags + connectionFlags + `
Examples:
  tally resume worker-17
  tally resume -zone andina-med
`

// resumeCommand implements tally resume.
type resumeCommand struct{ members }

func (c *resumeCommand) name() string             { return "resume" }
func (c *resumeCommand) usage() string            { return resumeUsage }
func (c *resumeCommand) setFlags(f *flag.FlagSet) { c.members.setFlags(f) }

func (c *resumeCommand) run(ctx context.Context, args []string) error {
	_, changes, err := c.setDraining(ctx, args, false)
	if len(changes) > 0 {
		if printErr := c.print(changes); err == nil {
			err = printErr
		}
	}
	return err
}
