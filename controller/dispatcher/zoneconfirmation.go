package dispatcher

import (
	"slices"

	"oleandertally/core/specifier"
)

// confirmZones answers the orders for zones in which no start from before can begin any more.
func (d *Dispatcher) confirmZones() {
	for _, e := range d.evacuations {
		if !d.Recorder.Evacuated(e.zone) || e.proposes(specifier.EvacuateZone) {
			continue
		}
		if !e.confirmed && d.startsEnded(e) {
			e.confirmed = true
			d.emit(LogEvent{Event: "ZoneEvacuated", Detail: e.zone, Age: d.now.Sub(e.closedAt), Count: d.countZone(e.zone)})
		}
		if e.confirmed {
			d.replyAll(&e.evacuating, specifier.QueueReply{Result: specifier.QueueOK})
		}
	}
}

// startsEnded reports whether no start that was ordered before the zone was closed can begin any more. An order that was sent by then
// reaches its agent, if at all, under a grant that was asked for by then, and a worker begins nothing after the lease in a start.
func (d *Dispatcher) startsEnded(e *evacuation) bool {
	if !d.now.Before(e.closedAt.Add(d.Settings.grantEnd())) {
		return true
	}
	formerGrantsEnd := d.leadingSince.Add(d.Settings.grantEnd()) // grants of earlier leaders
	for _, a := range d.agentsByName {
		if e.concerns(a) && !a.confirms(e) && d.now.Before(later(a.grantUntil.Add(d.Settings.GrantMargin), formerGrantsEnd)) {
			return false
		}
	}
	if !d.now.Before(formerGrantsEnd) {
		return true
	}
	return !slices.ContainsFunc(d.Recorder.EnrolledAgents(), func(name string) bool { return d.agents[name] == nil })
}

// confirms reports whether the agent has said that it starts nothing in the zone any more. An agent of an earlier version does not
// report a version; its complete list shows that it has received every order, and that no run is starting.
func (a *agent) confirms(e *evacuation) bool {
	if a.evacuationVersion >= e.version && a.settled {
		return true
	}
	return a.zone == "" && a.startsListedAt.After(e.closedAt)
}

// noteStarts updates what a report says of starts under way.
func (d *Dispatcher) noteStarts(a *agent, report specifier.LeaseReport) {
	a.evacuationVersion = report.EvacuationVersion
	starting := slices.ContainsFunc(report.Runs, func(run specifier.LeasedRun) bool { return run.Starting })
	if report.RunsComplete && a.settled && report.Token == d.fence(a) && report.LastOrder >= a.orderCount && !starting {
		a.startsListedAt = d.now
	}
}
