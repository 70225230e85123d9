package main

import (
	"context"
	"flag"
	"fmt"
	"io"

	"github.com/google/subcommands"
)

// commands returns all commands. Those of tally profiles form one group.
func commands(env *environment) []subcommands.Command {
	list := []command{
		&checkCommand{env: env},
		&statusCommand{connection: connection{env: env}},
		&drainCommand{members{request: request{connection: connection{env: env}}}},
		&resumeCommand{members{request: request{connection: connection{env: env}}}},
		&stopCommand{members: members{request: request{connection: connection{env: env}}}},
		&timelineCommand{connection: connection{env: env}},
	}
	adapted := []subcommands.Command{&profilesCommand{env: env}}
	for _, c := range list {
		adapted = append(adapted, &adapter{command: c, env: env})
	}
	return adapted
}

// run executes the command given by args and returns its exit code.
func run(ctx context.Context, env *environment, args []string) subcommands.ExitStatus {
	flags := flag.NewFlagSet("tally", flag.ContinueOnError)
	flags.SetOutput(env.stderr)
	commander := newCommander(flags, "tally", env, commands(env))
	if err := flags.Parse(args); err != nil {
		return exitUsage
	}
	return commander.Execute(ctx)
}

func newCommander(flags *flag.FlagSet, name string, env *environment, list []subcommands.Command) *subcommands.Commander {
	commander := subcommands.NewCommander(flags, name)
	commander.Output, commander.Error = env.stdout, env.stderr
	commander.ExplainCommand = func(w io.Writer, c subcommands.Command) { fmt.Fprint(w, c.Usage()) }
	commander.Register(commander.HelpCommand(), "help")
	for _, c := range list {
		commander.Register(c, "")
	}
	return commander
}
