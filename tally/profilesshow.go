package main

import (
	"context"
	"flag"
	"fmt"

	"github.com/goccy/go-yaml"

	"oleandertally/core/specifier"
)

const showUsage = `tally profiles show [flags] [NAME]
  Prints one profile, or all profiles and teams, in the format of the files that apply reads.

Flags:
  -revision N        at this revision instead of the one in force
` + connectionFlags + `
Examples:
  tally profiles show holds
  tally profiles show -revision 41 > saved.yaml
`

// showCommand implements tally profiles show.
type showCommand struct {
	connection
	revision uint64
}

func (c *showCommand) name() string  { return "show" }
func (c *showCommand) usage() string { return showUsage }

func (c *showCommand) setFlags(f *flag.FlagSet) {
	c.connection.setFlags(f)
	f.Uint64Var(&c.revision, "revision", 0, "")
}

func (c *showCommand) run(ctx context.Context, args []string) error {
	if len(args) > 1 {
		return fail(exitUsage, "see: tally profiles help show", "%d names, expected at most one", len(args))
	}
	state, err := c.readAt(ctx, c.revision)
	if err != nil {
		return err
	}
	file := newChangeFile(state.Configuration)
	if len(args) == 1 {
		profile, ok := state.Configuration.Profiles[args[0]]
		if !ok {
			return fail(exitFailed, "see the names with: tally profiles list", "no profile is named %q at revision %d", args[0], state.Configuration.Revision)
		}
		file = changeFile{Profiles: []specifier.Profile{profile}}
	}
	if c.json {
		return writeJSON(c.env.stdout, file)
	}
	// Zero values stand for defaults and are invalid in a file, so they are omitted.
	text, err := yaml.MarshalWithOptions(file, yaml.OmitEmpty())
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.env.stdout, "# revision %d\n%s", state.Configuration.Revision, text)
	return err
}
