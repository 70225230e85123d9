// Local runs every role of a site in one process on loopback: three controllers, two entries, and eleven
// agents with emulated upstreams, in three availability zones. It replays a recorded job file, prints where the
// tasks ran and the response times relative to the ideal, and exits with 1 if a guarantee was violated.
//
//	go run ./local                      replay examples/jobs/morning.jsonl
//	go run ./local -jobs FILE           replay another file
//	go run ./local -serve               serve requests on fixed ports until interrupted
//	go run ./local -measure             measure the job mix of the design page at four demands
//	go run ./local -play small-crest    play a load against the decisions on a simulated clock
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
	replay := replayCommand{out: os.Stdout}
	measure := measureCommand{out: os.Stdout}
	measureMode := flag.Bool("measure", false, "measure the job mix of the design page at four demands")
	play := playCommand{out: os.Stdout}
	flag.StringVar(&play.scenario, "play", "", "`scenario` to play on a simulated clock; an unknown one prints the list")
	seed := flag.Uint64("seed", 1, "seed of the jobs (with -measure and -play)")
	flag.DurationVar(&measure.length, "length", 40*time.Second, "time in which jobs arrive (with -measure)")
	flag.StringVar(&replay.jobs, "jobs", "examples/jobs/morning.jsonl", "recorded job `file` in JSON Lines")
	flag.BoolVar(&replay.serve, "serve", false, "stay up on fixed ports until interrupted")
	flag.StringVar(&replay.starts, "starts", "", "`file` for the upstreams' log of starts (with -serve: starts.log)")
	flag.BoolVar(&replay.verbose, "v", false, "log what the processes do to standard error")
	flag.IntVar(&measure.entries, "entries", 2, "number of entries (with -measure)")
	flag.StringVar(&measure.profile, "profile", "", "`file` for a processor profile by role (with -measure)")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	context.AfterFunc(ctx, stop) // a second signal terminates the program immediately
	run := replay.run
	measure.seed, play.seed = *seed, *seed
	switch {
	case *measureMode:
		run = measure.run
	case play.scenario != "":
		run = play.run
	}
	code, err := run(ctx)
	if err != nil {
		fmt.Fprintln(os.Stderr, "local:", err)
		code = 2
	}
	os.Exit(code)
}
