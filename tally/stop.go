package main

import (
	"context"
	"flag"
	"fmt"
	"time"

	"oleandertally/core/operator"
	"oleandertally/core/specifier"
)

const stopUsage = `tally stop [flags] [NAME ...]
  Drains members and waits until none of them has work, so that their processes can be ended.

A member has ended when it is recorded as Down, or drains and reports no task. At the deadline
the command returns with code 6; the members stay drained and finish what they have.

Flags:
  -deadline DURATION how long to wait; default 5m
  -every DURATION    time between two looks at the members; default 1s
` + memberFlags + requestFlags + connectionFlags + `
Examples:
  tally stop worker-17
  tally stop -zone andina-med -deadline 20m
`

// stopCommand implements tally stop.
type stopCommand struct {
	members
	timeout      time.Duration
	pollInterval time.Duration
}

func (c *stopCommand) name() string  { return "stop" }
func (c *stopCommand) usage() string { return stopUsage }

func (c *stopCommand) setFlags(f *flag.FlagSet) {
	c.members.setFlags(f)
	f.DurationVar(&c.timeout, "deadline", 5*time.Minute, "")
	f.DurationVar(&c.pollInterval, "every", time.Second, "")
}

func (c *stopCommand) run(ctx context.Context, args []string) error {
	if c.timeout <= 0 || c.pollInterval <= 0 {
		return fail(exitUsage, "", "-deadline and -every must be more than 0")
	}
	deadline := c.env.clock().Add(c.timeout)
	targets, _, err := c.setDraining(ctx, args, true)
	if err != nil {
		return err
	}
	lastLine := ""
	for {
		state, err := c.read(ctx)
		if err != nil {
			return err
		}
		progress := stopProgressOf(state, targets)
		if line := progress.String(); line != lastLine {
			fmt.Fprintln(c.env.stderr, line)
			lastLine = line
		}
		if progress.isDone() {
			return c.report(progress)
		}
		if !c.env.clock().Before(deadline) {
			return fail(exitDeadline, "give the command again to wait longer, or: tally resume", "not ended after %v: %s", c.timeout, progress.waitingNames())
		}
		if err := c.env.pause(ctx, c.pollInterval); err != nil {
			return fail(exitFailed, "the members stay drained; undo with: tally resume", "interrupted: %s", progress)
		}
	}
}

func (c *stopCommand) report(progress stopProgress) error {
	if c.json {
		return writeJSON(c.env.stdout, progress)
	}
	_, err := fmt.Fprintf(c.env.stdout, "%d members have ended; their processes can be stopped\n", progress.Ended)
	return err
}

// stopProgressOf returns which of targets have ended. Members are compared by name, because a member that restarts during
// the wait keeps its name and has a new incarnation.
func stopProgressOf(state operator.State, targets []specifier.Member) stopProgress {
	now := make(map[string]specifier.Member)
	for _, member := range state.Members {
		now[member.Name] = member
	}
	var p stopProgress
	for _, target := range targets {
		member, present := now[target.Name]
		load, known := state.Load(member.Identity)
		// An agent that has started to drain reports no slots. A report with slots may be older than the drain.
		idle := member.State == specifier.Draining && known && load.Slots == 0 && load.Running == 0 && load.Queued == 0
		if !present || member.State == specifier.Down || idle {
			p.Ended++
			continue
		}
		p.Waiting = append(p.Waiting, target.Name)
		p.Running += load.Running
		p.Queued += load.Queued
	}
	return p
}
