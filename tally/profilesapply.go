package main

import (
	"context"
	"flag"
)

const applyUsage = `tally profiles apply [flags] FILE
  Makes the profiles and teams of a file the ones in force, as a new revision.

Profiles and teams that the file does not name stay as they are; RemoveProfiles and RemoveTeams
list the ones to remove. The change names the revision it was made from: when another change
came first, nothing is applied and the command returns with code 3.

Flags:
` + revisionFlags + requestFlags + connectionFlags + `
Examples:
  tally profiles apply holds.yaml
  tally profiles apply -from 41 -request 6UWYJ2D6RCVLMJCFQ5ZLOSN5VX holds.yaml
`

// applyCommand implements tally profiles apply.
type applyCommand struct{ revisionRequest }

func (c *applyCommand) name() string             { return "apply" }
func (c *applyCommand) usage() string            { return applyUsage }
func (c *applyCommand) setFlags(f *flag.FlagSet) { c.revisionRequest.setFlags(f) }

func (c *applyCommand) run(ctx context.Context, args []string) error {
	file, err := c.env.changeFile(args)
	if err != nil {
		return err
	}
	if file.isEmpty() {
		return fail(exitRejected, "", "%s: changes nothing", args[0])
	}
	client, err := c.client()
	if err != nil {
		return err
	}
	state, err := client.Read(ctx, 0)
	if err != nil {
		return explain(err)
	}
	return c.submit(ctx, client, file, state.Configuration.Revision)
}

// changeFile reads the file given by args, which must be one name.
func (e *environment) changeFile(args []string) (changeFile, error) {
	if len(args) != 1 {
		return changeFile{}, fail(exitUsage, "flags come before the file", "%d files, expected one", len(args))
	}
	data, err := e.readFile(args[0])
	if err != nil {
		return changeFile{}, fail(exitFailed, "", "%v", err)
	}
	return parseChangeFile(args[0], data)
}
