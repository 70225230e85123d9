package main

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"time"

	"oleandertally/core/specifier"
)

const listUsage = `tally profiles list [flags]
  Shows one line for each profile in force.

A "-" stands for the default.

Flags:
` + connectionFlags + `
Examples:
  tally profiles list
`

// listCommand implements tally profiles list.
type listCommand struct{ connection }

func (c *listCommand) name() string             { return "list" }
func (c *listCommand) usage() string            { return listUsage }
func (c *listCommand) setFlags(f *flag.FlagSet) { c.connection.setFlags(f) }

func (c *listCommand) run(ctx context.Context, _ []string) error {
	state, err := c.read(ctx)
	if err != nil {
		return err
	}
	if c.json {
		return writeJSON(c.env.stdout, state.Configuration)
	}
	fmt.Fprintf(c.env.stdout, "Revision %d by %s\n\n", state.Configuration.Revision, orDash(state.Operator))
	var rows [][]string
	for _, name := range slices.Sorted(maps.Keys(state.Configuration.Profiles)) {
		rows = append(rows, profileRow(state.Configuration.Profiles[name]))
	}
	writeTable(c.env.stdout, []string{"PROFILE", "SERVICE", "REPEATABLE", "PRIORITY", "MAX TIME LEFT", "TYPICAL TIME",
		"QUEUE BOUND", "RETRY BUDGET", "LONG SHARE", "BREAKER AFTER"}, rows)
	return nil
}

func profileRow(p specifier.Profile) []string {
	return []string{p.Name, p.Service, strconv.FormatBool(p.Repeatable), strconv.Itoa(p.Priority), durationCell(p.MaxTimeLeft),
		durationCell(p.TypicalTime), numberCell(float64(p.QueueBound)), numberCell(p.RetryBudget), numberCell(p.LongShare), numberCell(float64(p.BreakerAfter))}
}

// durationCell returns "-" for a zero duration, which stands for the default.
func durationCell(d time.Duration) string {
	if d == 0 {
		return "-"
	}
	return d.String()
}

// numberCell returns "-" for zero, which stands for the default.
func numberCell(value float64) string {
	if value == 0 {
		return "-"
	}
	return strconv.FormatFloat(value, 'g', -1, 64)
}
