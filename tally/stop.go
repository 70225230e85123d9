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

// stopCommand drains and waits.
type stopCommand struct {
	members
	wait  time.Duration
	every time.Duration
}

func (c *stopCommand) name() string  { return "stop" }
func (c *stopCommand) usage() string { return stopUsage }

func (c *stopCommand) setFlags(f *flag.FlagSet) {
	c.members.setFlags(f)
	f.DurationVar(&c.wait, "deadline", 5*time.Minute, "")
	f.DurationVar(&c.every, "every", time.Second, "")
}

func (c *stopCommand) run(ctx context.Context, args []string) error {
	if c.wait <= 0 || c.every <= 0 {
		return fail(exitUsage, "", "-deadline and -every must be more than 0")
	}
	deadline := c.env.clock().Add(c.wait)
	targets, _, err := c.setDraining(ctx, args, true)
	if err != nil {
		return err
	}
	shown := ""
	for {
		state, err := c.read(ctx)
		if err != nil {
			return err
		}
		left := progressOf(state, targets)
		if line := left.String(); line != shown {
			fmt.Fprintln(c.env.stderr, line)
			shown = line
		}
		if left.isDone() {
			return c.report(left)
		}
		if !c.env.clock().Before(deadline) {
			return fail(exitDeadline, "give the command again to wait longer, or: tally resume", "not ended after %v: %s", c.wait, left.names())
		}
		if err := c.env.pause(ctx, c.every); err != nil {
			return fail(exitFailed, "the members stay drained; undo with: tally resume", "interrupted: %s", left)
		}
	}
}

func (c *stopCommand) report(left progress) error {
	if c.json {
		return writeJSON(c.env.stdout, left)
	}
	_, err := fmt.Fprintf(c.env.stdout, "%d members have ended; their processes can be stopped\n", left.Ended)
	return err
}

// progressOf counts the members that have ended. A restart during the wait is a run of the same
// name, so names are compared.
func progressOf(state operator.State, targets []specifier.Member) progress {
	now := make(map[string]specifier.Member)
	for _, member := range state.Members {
		now[member.Name] = member
	}
	var p progress
	for _, target := range targets {
		member, present := now[target.Name]
		load, known := state.Load(member.Identity)
		// An agent that knows that it drains reports no slots; an earlier report may be out of date.
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
