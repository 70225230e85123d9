package main

import (
	"context"
	"flag"
	"fmt"

	"oleandertally/core/specifier"
)

const revertUsage = `tally profiles revert [flags] -to N
  Makes the profiles and teams of an earlier revision the ones in force, as a new revision.

The controllers hold a limited number of revisions. Save one with show, and apply the file when
it is no longer held.

Flags:
  -to N              the revision to return to
` + revisionFlags + requestFlags + connectionFlags + `
Examples:
  tally profiles compare -revision 41
  tally profiles revert -to 41
`

// revertCommand implements tally profiles revert.
type revertCommand struct {
	revisionRequest
	to uint64
}

func (c *revertCommand) name() string  { return "revert" }
func (c *revertCommand) usage() string { return revertUsage }

func (c *revertCommand) setFlags(f *flag.FlagSet) {
	c.revisionRequest.setFlags(f)
	f.Uint64Var(&c.to, "to", 0, "")
}

func (c *revertCommand) run(ctx context.Context, args []string) error {
	if c.to == 0 || len(args) > 0 {
		return fail(exitUsage, "see: tally profiles help revert", "give -to N and nothing else")
	}
	client, err := c.client()
	if err != nil {
		return err
	}
	now, err := client.Read(ctx, 0)
	if err != nil {
		return explain(err)
	}
	target, err := client.Read(ctx, specifier.Revision(c.to))
	if err != nil {
		return explain(err)
	}
	file := changeBetween(now.Configuration, target.Configuration)
	// A repeated request must reach the controllers even when the first one was applied.
	if file.isEmpty() && c.id == "" {
		_, err := fmt.Fprintf(c.env.stdout, "revision %d is already like revision %d\n", now.Configuration.Revision, c.to)
		return err
	}
	return c.submit(ctx, client, file, now.Configuration.Revision)
}
