package main

import (
	"context"
	"flag"
)

const drainUsage = `tally drain [flags] [NAME ...]
  Takes members out of service: they finish what they have and take nothing new.

The change outlives restarts of the member, until resume. It does not wait; stop does. With -zone, the queues also
start no task in the zone any more, from the moment that the command returns; what runs there goes on.

Flags:
` + memberFlags + requestFlags + connectionFlags + `
Examples:
  tally drain worker-17
  tally drain -zone andina-med
`

// drainCommand implements tally drain.
type drainCommand struct{ members }

func (c *drainCommand) name() string             { return "drain" }
func (c *drainCommand) usage() string            { return drainUsage }
func (c *drainCommand) setFlags(f *flag.FlagSet) { c.members.setFlags(f) }

func (c *drainCommand) run(ctx context.Context, args []string) error {
	_, changes, err := c.setDraining(ctx, args, true)
	if len(changes) > 0 {
		if printErr := c.print(changes); err == nil {
			err = printErr
		}
	}
	return err
}
