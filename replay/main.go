// Replay plays recorded or generated traces with the dispatch policies on a simulated clock and prints, for each trace, a
// table that compares the variants of the policies.
package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"
)

func main() {
	play := &playCommand{}
	subcommands.Register(play, "")
	subcommands.Register(&generateCommand{}, "")
	subcommands.Register(subcommands.HelpCommand(), "")
	flag.Parse()
	if flag.NArg() == 0 {
		play.SetFlags(flag.NewFlagSet("play", flag.ExitOnError))
		os.Exit(int(play.Execute(context.Background(), flag.CommandLine)))
	}
	os.Exit(int(subcommands.Execute(context.Background())))
}
