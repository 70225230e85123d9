// Local runs every role of a site in one process on loopback: three controllers, two entries, and eleven
// agents with stand-ins for their upstreams in three availability zones. It replays a recorded job file,
// prints what ran where and how long against the ideal, and exits with 1 if a promise was broken.
//
//	go run ./local                      replay examples/jobs/morning.jsonl
//	go run ./local -jobs FILE           replay another file
//	go run ./local -serve               stay up for curl on fixed ports
//	go run ./local -measure             send the mix of the design page at four demands and print the figures
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

func main() {
	command := replayCommand{out: os.Stdout}
	measure := measureCommand{out: os.Stdout}
	measures := flag.Bool("measure", false, "measure the whole path")
	flag.Uint64Var(&measure.seed, "seed", 1, "seed of the jobs (with -measure)")
	flag.DurationVar(&measure.length, "length", 40*time.Second, "time in which jobs arrive (with -measure)")
	flag.StringVar(&command.jobs, "jobs", "examples/jobs/morning.jsonl", "recorded job `file` in JSON Lines")
	flag.BoolVar(&command.serve, "serve", false, "stay up on fixed ports until interrupted")
	flag.StringVar(&command.starts, "starts", "", "`file` for the upstreams' log of starts (with -serve: starts.log)")
	flag.BoolVar(&command.verbose, "v", false, "log what the processes do to standard error")
	flag.IntVar(&measure.entries, "entries", 2, "number of entries (with -measure)")
	flag.StringVar(&measure.profile, "profile", "", "`file` for a processor profile by role (with -measure)")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	context.AfterFunc(ctx, stop) // a second signal ends the program at once
	run := command.run
	if *measures {
		run = measure.run
	}
	code, err := run(ctx)
	if err != nil {
		fmt.Fprintln(os.Stderr, "local:", err)
		code = 2
	}
	os.Exit(code)
}
