package main

import (
	"context"
	"flag"

	"github.com/google/subcommands"
)

const profilesUsage = `tally profiles COMMAND [flags]
  Lists, shows, applies, compares and reverts profiles and teams.

Commands:
  list     one line for each profile in force
  show     one profile or all, in the format of the files
  apply    make the profiles and teams of a file the ones in force
  compare  show what a file or a revision would change
  revert   go back to an earlier revision, as a new revision

Examples:
  tally profiles list
  tally help profiles
  tally profiles help apply
`

// profilesCommand groups the commands that read or change the configuration.
type profilesCommand struct{ env *environment }

// Name returns the name of the group.
func (c *profilesCommand) Name() string { return "profiles" }

// Synopsis returns a short summary.
func (c *profilesCommand) Synopsis() string {
	return "Lists, shows, applies, compares and reverts profiles and teams."
}

// Usage returns the whole usage text.
func (c *profilesCommand) Usage() string { return profilesUsage }

// SetFlags adds no flags: each command of the group has its own.
func (c *profilesCommand) SetFlags(*flag.FlagSet) {}

// Execute runs the command that the first argument names.
func (c *profilesCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return newCommander(f, "tally profiles", c.env, profileCommands(c.env)).Execute(ctx)
}

func profileCommands(env *environment) []subcommands.Command {
	shared := connection{env: env}
	var adapted []subcommands.Command
	for _, c := range []command{
		&listCommand{connection: shared},
		&showCommand{connection: shared},
		&applyCommand{revisionRequest{request: request{connection: shared}}},
		&compareCommand{connection: shared},
		&revertCommand{revisionRequest: revisionRequest{request: request{connection: shared}}},
	} {
		adapted = append(adapted, &adapter{command: c, env: env})
	}
	return adapted
}
