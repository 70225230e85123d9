package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"time"

	"oleandertally/core/operator"
	"oleandertally/core/specifier"
)

const statusUsage = `tally status [flags]
  Shows controllers, zones, members and teams.

Flags:
  -zone NAME         only the members of this availability zone
` + connectionFlags + `
Examples:
  tally status
  tally status -zone heredia
  tally status -json
`

// statusCommand implements tally status.
type statusCommand struct {
	connection
	zone string
}

func (c *statusCommand) name() string  { return "status" }
func (c *statusCommand) usage() string { return statusUsage }

func (c *statusCommand) setFlags(f *flag.FlagSet) {
	c.connection.setFlags(f)
	f.StringVar(&c.zone, "zone", "", "")
}

func (c *statusCommand) run(ctx context.Context, args []string) error {
	if len(args) > 0 {
		return fail(exitUsage, "see: tally help status", "unexpected argument %q", args[0])
	}
	state, err := c.read(ctx)
	if err != nil {
		return err
	}
	if c.zone != "" {
		state.Members = slices.DeleteFunc(state.Members, func(m specifier.Member) bool { return m.Zone != c.zone })
		if len(state.Members) == 0 {
			return fail(exitFailed, "see the names with: tally status", "no member in zone %q", c.zone)
		}
	}
	if c.json {
		return writeJSON(c.env.stdout, state)
	}
	writeStatus(c.env.stdout, state)
	return nil
}

func writeStatus(w io.Writer, state operator.State) {
	fmt.Fprintf(w, "Revision %d by %s\n\n", state.Configuration.Revision, orDash(state.Operator))
	writeTable(w, []string{"CONTROLLER", "ADDRESS", "ZONE", "ROLE", "TERM", "COMMIT", "APPLIED", "SYNCED", "HEARD"}, controllerRows(state))
	fmt.Fprintln(w)
	writeTable(w, []string{"ZONE", "UP", "DRAINING", "DOWN", "SLOTS", "RUNNING", "QUEUED"}, zoneRows(state))
	if len(state.QueueZones) > 0 {
		fmt.Fprintln(w)
		writeTable(w, []string{"ZONE OF QUEUES", "WORKERS", "STARTS"}, queueZoneRows(state))
	}
	fmt.Fprintln(w)
	writeTable(w, []string{"MEMBER", "ROLE", "ZONE", "RACK", "SERVICE", "STATE", "SLOTS", "RUNNING", "QUEUED", "ADDRESS"}, memberRows(state))
	if len(state.Configuration.Teams) > 0 {
		fmt.Fprintln(w)
		writeTable(w, []string{"TEAM", "SHARE"}, teamRows(state.Configuration))
	}
}

func controllerRows(state operator.State) [][]string {
	var rows [][]string
	for _, s := range state.Controllers {
		role, heard := "voter", s.SinceHeard.Round(time.Millisecond).String()+" ago"
		commit, applied := "-", "-" // the leader knows these only for itself
		switch {
		case s.Leading:
			role, heard = "leader", "-"
			commit, applied = strconv.FormatUint(s.CommitIndex, 10), strconv.FormatUint(s.AppliedIndex, 10)
		case s.Learner:
			role = "learner"
		}
		rows = append(rows, []string{s.Name, s.Addr.String(), orDash(s.Zone), role, strconv.FormatUint(s.Term, 10),
			commit, applied, strconv.FormatUint(s.SyncedIndex, 10), heard})
	}
	return rows
}

func zoneRows(state operator.State) [][]string {
	zones := make(map[string]*zoneCounts)
	for _, member := range state.Members {
		if zones[member.Zone] == nil {
			zones[member.Zone] = &zoneCounts{}
		}
		load, known := state.Load(member.Identity)
		zones[member.Zone].add(member, load, known)
	}
	var rows [][]string
	for _, name := range slices.Sorted(maps.Keys(zones)) {
		rows = append(rows, append([]string{name}, zones[name].cells()...))
	}
	return rows
}

// queueZoneRows says of each availability zone whether the queues start tasks there.
func queueZoneRows(state operator.State) [][]string {
	var rows [][]string
	for _, zone := range state.QueueZones {
		starts := "yes"
		if zone.Evacuated {
			starts = "no, evacuated"
		}
		rows = append(rows, []string{zone.Name, strconv.Itoa(zone.Workers), starts})
	}
	return rows
}

func memberRows(state operator.State) [][]string {
	var rows [][]string
	for _, m := range state.Members {
		running, queued := "-", "-"
		if load, known := state.Load(m.Identity); known {
			running, queued = strconv.Itoa(load.Running), strconv.Itoa(load.Queued)
		}
		rows = append(rows, []string{m.Name, string(m.Role), m.Zone, orDash(m.Rack), orDash(m.Service), string(m.State),
			strconv.Itoa(m.Slots), running, queued, m.Addr.String()})
	}
	return rows
}

func teamRows(configuration specifier.Configuration) [][]string {
	var rows [][]string
	for _, name := range slices.Sorted(maps.Keys(configuration.Teams)) {
		rows = append(rows, []string{name, strconv.FormatFloat(configuration.Teams[name].Share, 'g', -1, 64)})
	}
	return rows
}
