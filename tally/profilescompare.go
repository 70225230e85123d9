package main

import (
	"context"
	"flag"
	"fmt"

	"oleandertally/core/specifier"
)

const compareUsage = `tally profiles compare [flags] [FILE]
  Shows what a file, or a return to an earlier revision, would change. Code 7: something.

Flags:
  -revision N        compare with this revision instead of a file
` + connectionFlags + `
Examples:
  tally profiles compare holds.yaml
  tally profiles compare -revision 41
`

// compareCommand implements tally profiles compare.
type compareCommand struct {
	connection
	revision uint64
}

func (c *compareCommand) name() string  { return "compare" }
func (c *compareCommand) usage() string { return compareUsage }

func (c *compareCommand) setFlags(f *flag.FlagSet) {
	c.connection.setFlags(f)
	f.Uint64Var(&c.revision, "revision", 0, "")
}

func (c *compareCommand) run(ctx context.Context, args []string) error {
	if (c.revision > 0) == (len(args) > 0) {
		return fail(exitUsage, "", "give either FILE or -revision N")
	}
	state, err := c.read(ctx)
	if err != nil {
		return err
	}
	other, err := c.other(ctx, state.Configuration, args)
	if err != nil {
		return err
	}
	found := differences(state.Configuration, other)
	if c.json {
		if err := writeJSON(c.env.stdout, found); err != nil {
			return err
		}
	} else {
		c.print(state.Configuration.Revision, found)
	}
	if len(found) > 0 {
		return fail(exitDifferent, "", "%d differences", len(found))
	}
	return nil
}

// other returns the configuration to compare with.
func (c *compareCommand) other(ctx context.Context, now specifier.Configuration, args []string) (specifier.Configuration, error) {
	if c.revision > 0 {
		state, err := c.readAt(ctx, c.revision)
		return state.Configuration, err
	}
	file, err := c.env.changeFile(args)
	return file.applyTo(now), err
}

func (c *compareCommand) print(revision specifier.Revision, found []difference) {
	if len(found) == 0 {
		fmt.Fprintf(c.env.stdout, "no differences from revision %d\n", revision)
		return
	}
	var rows [][]string
	for _, d := range found {
		rows = append(rows, []string{d.Item, orDash(d.Field), orDash(d.Now), orDash(d.Then)})
	}
	writeTable(c.env.stdout, []string{"ITEM", "FIELD", fmt.Sprintf("REVISION %d", revision), "WOULD BE"}, rows)
}
