package main

import (
	"context"
	"flag"
	"fmt"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"oleandertally/core/operator"
	"oleandertally/core/specifier"
)

// members contains the flags of the commands that select members by name or zone.
type members struct {
	request
	zone string
}

// memberFlags is the part of the usage text for the flags of members.
const memberFlags = `  -zone NAME         every member of this availability zone
`

func (m *members) setFlags(f *flag.FlagSet) {
	m.request.setFlags(f)
	f.StringVar(&m.zone, "zone", "", "")
}

// selected returns the members with the given names, or the members of the zone that are not Down.
func (m *members) selected(state operator.State, names []string) ([]specifier.Member, error) {
	if (m.zone == "") == (len(names) == 0) {
		return nil, fail(exitUsage, "", "give either names of members or -zone NAME")
	}
	var found []specifier.Member
	for _, member := range state.Members {
		if m.zone != "" && member.Zone == m.zone && member.State != specifier.Down || slices.Contains(names, member.Name) {
			found = append(found, member)
		}
	}
	for _, name := range names {
		if !slices.ContainsFunc(found, func(member specifier.Member) bool { return member.Name == name }) {
			return nil, fail(exitFailed, "see the names with: tally status", "no member is named %q", name)
		}
	}
	if _, known := state.QueueZone(m.zone); len(found) == 0 && !known {
		return nil, fail(exitFailed, "see the names with: tally status", "no member that runs and no worker of the queues is in zone %q", m.zone)
	}
	return found, nil
}

// setDraining sends the change for each selected member, and returns the members and the decisions. A refusal does not stop
// the changes for the other members, so that a zone is not left half drained. A zone is also evacuated or restored in the queues, so that it is
// out of service as a whole.
func (m *members) setDraining(ctx context.Context, names []string, draining bool) ([]specifier.Member, []change, error) {
	client, err := m.client()
	if err != nil {
		return nil, nil, err
	}
	state, err := client.Read(ctx, 0)
	if err != nil {
		return nil, nil, explain(err)
	}
	found, err := m.selected(state, names)
	if err != nil {
		return nil, nil, err
	}
	if err := m.announce(fmt.Sprintf(" for %d members", len(found))); err != nil {
		return nil, nil, err
	}
	var changes []change
	if m.zone != "" {
		evacuated, err := m.evacuate(ctx, client, operator.Evacuation{Zone: m.zone, Restore: !draining})
		if err != nil {
			return found, nil, err
		}
		changes = append(changes, evacuated)
	}
	var refused []string
	for _, member := range found {
		decision, err := m.send(ctx, client, specifier.DrainMember{Name: member.Name, Draining: draining})
		if err != nil {
			return found, changes, err
		}
		changes = append(changes, newChange(m.id, member.Name, 0, decision))
		if decision.Verdict != specifier.Applied {
			refused = append(refused, member.Name+": "+decision.Detail)
		}
	}
	if len(refused) > 0 {
		return found, changes, fail(exitRejected, "see the members with: tally status", "refused for %s", strings.Join(refused, "; "))
	}
	return found, changes, nil
}

// evacuate sends the order about the selected zone and returns it as a change.
func (m *members) evacuate(ctx context.Context, client *operator.Client, order operator.Evacuation) (change, error) {
	err := client.Evacuate(ctx, m.id, m.operator, order)
	var unreachable *operator.UnreachableError
	if errors.As(err, &unreachable) {
		return change{}, fail(exitUnreachable, "give the same command again", "%v", err)
	}
	if err != nil {
		return change{}, explain(err)
	}
	detail := "the queues start no task there"
	if order.Restore {
		detail = "the queues start tasks there"
	}
	return change{Request: m.id, Zone: order.Zone, Verdict: specifier.Applied, Detail: detail}, nil
}

// print writes the decision for each member and zone.
func (m *members) print(changes []change) error {
	if m.json {
		return writeJSON(m.env.stdout, changes)
	}
	var rows [][]string
	for _, c := range changes {
		name := c.Member
		if c.Zone != "" {
			name = "zone " + c.Zone
		}
		rows = append(rows, []string{name, string(c.Verdict), orDash(c.Detail)})
	}
	writeTable(m.env.stdout, []string{"MEMBER", "VERDICT", "DETAIL"}, rows)
	return nil
}
