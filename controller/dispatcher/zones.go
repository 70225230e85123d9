package dispatcher

import (
	"slices"
	"strings"
	"time"

	"oleandertally/core/specifier"
)

// changeZone handles an operator's order to evacuate or restore an availability zone. The leader stops placing when it proposes an
// evacuation. An order that the newest change in the log has already made waits for that change.
func (d *Dispatcher) changeZone(from waiter, call specifier.QueueCall) {
	if problems := specifier.CheckZone(call.Zone); problems != nil {
		d.reply(from, specifier.QueueReply{Result: specifier.QueueInvalid, Detail: problems.Error()})
		return
	}
	evacuated, e := d.Recorder.Evacuated(call.Zone), d.evacuation(call.Zone)
	if call.Verb == specifier.RestoreZone {
		if e == nil || !evacuated && len(e.proposed) == 0 {
			d.reply(from, specifier.QueueReply{Result: specifier.QueueOK})
			return
		}
		e.restoring = append(e.restoring, from)
		if e.intended(evacuated) != specifier.RestoreZone {
			e.restoredAt = d.now
			e.proposed = append(e.proposed, specifier.RestoreZone)
			d.propose(specifier.QueueCommand{Restore: e.zone})
		}
		return
	}
	if e == nil {
		e = d.addEvacuation(call.Zone)
	}
	e.evacuating = append(e.evacuating, from)
	if e.intended(evacuated) != specifier.EvacuateZone {
		d.closeZone(e)
		e.proposed = append(e.proposed, specifier.EvacuateZone)
		d.propose(specifier.QueueCommand{Evacuate: e.zone})
	}
}

// evacuation returns what is known about a zone, or nil.
func (d *Dispatcher) evacuation(zone string) *evacuation {
	if at, found := d.findEvacuation(zone); found {
		return d.evacuations[at]
	}
	return nil
}

func (d *Dispatcher) findEvacuation(zone string) (int, bool) {
	return slices.BinarySearchFunc(d.evacuations, zone, func(e *evacuation, zone string) int { return strings.Compare(e.zone, zone) })
}

func (d *Dispatcher) addEvacuation(zone string) *evacuation {
	at, _ := d.findEvacuation(zone)
	e := &evacuation{zone: zone}
	d.evacuations = slices.Insert(d.evacuations, at, e)
	return e
}

// restoreEvacuations closes the zones that are evacuated by the log of a new leader. It has placed nothing there yet; what earlier
// leaders have started begins under grants that end with those.
func (d *Dispatcher) restoreEvacuations() {
	for _, zone := range d.Recorder.EvacuatedZones() {
		e := d.addEvacuation(zone)
		e.version = d.Recorder.EvacuationVersion()
		d.closeZone(e)
	}
}

// closeZone stops placing in a zone.
func (d *Dispatcher) closeZone(e *evacuation) {
	if e.closed() {
		return
	}
	e.closedAt, e.confirmed = d.now, false
	d.wake(d.now.Add(d.Settings.grantEnd()), timer{})
	d.zonesChanged()
}

// openZone places in a zone again.
func (d *Dispatcher) openZone(e *evacuation) {
	if e.closed() {
		e.closedAt, e.confirmed, e.version = time.Time{}, false, 0
		d.zonesChanged()
	}
}

// grantEnd returns how long after its request a grant has certainly ended.
func (s Settings) grantEnd() time.Duration { return s.GrantSpan + s.GrantMargin }

// zonesChanged makes the next placement look at all agents, and the next admission count their cores anew.
func (d *Dispatcher) zonesChanged() {
	for _, a := range d.agentsByName {
		d.touch(a)
	}
	for _, p := range d.poolList {
		p.measuredAt = time.Time{}
	}
	d.surveyAt = d.now
}

// zoneClosed reports whether nothing may be started at an agent because of its zone. An agent that has not said its zone may be in any.
func (d *Dispatcher) zoneClosed(a *agent) bool {
	return slices.ContainsFunc(d.evacuations, func(e *evacuation) bool { return e.closed() && (a.zone == "" || a.zone == e.zone) })
}

// evacuated reports whether the zone of an agent is evacuated by the log.
func (d *Dispatcher) evacuated(a *agent) bool {
	if a.zone == "" {
		return d.Recorder.AnyEvacuated()
	}
	return d.Recorder.Evacuated(a.zone)
}

// zoneCommitted handles a committed change of a zone, which this leader or an earlier one proposed. before is the version without it.
func (d *Dispatcher) zoneCommitted(verb specifier.QueueVerb, zone string, before uint64) {
	e, version := d.evacuation(zone), d.Recorder.EvacuationVersion()
	if e == nil {
		e = d.addEvacuation(zone) // an earlier leader proposed it
	}
	e.settle(verb)
	if d.Recorder.Evacuated(zone) {
		d.closeZone(e)
		if version != before {
			e.version, e.confirmed = version, false
			d.notifyZone(e)
		}
	}
	if verb == specifier.RestoreZone && version != before {
		age := time.Duration(0)
		if !e.restoredAt.IsZero() {
			age = d.now.Sub(e.restoredAt)
		}
		d.emit(LogEvent{Event: "ZoneRestored", Detail: zone, Age: age, Count: d.countZone(zone)})
	}
	if !e.proposes(specifier.RestoreZone) {
		e.restoredAt = time.Time{}
		d.replyAll(&e.restoring, specifier.QueueReply{Result: specifier.QueueOK})
	}
	if !d.Recorder.Evacuated(zone) && !e.proposes(specifier.EvacuateZone) {
		// An evacuation that still waited was in force until this later order ended it.
		d.replyAll(&e.evacuating, specifier.QueueReply{Result: specifier.QueueOK})
		d.openZone(e)
	}
	d.forgetIdle(e)
}

// zoneRejected answers the calls for a change that the log did not accept, and places in the zone again unless it stays evacuated.
func (d *Dispatcher) zoneRejected(verb specifier.QueueVerb, zone string, busy specifier.QueueReply) {
	e := d.evacuation(zone)
	if e == nil {
		return
	}
	e.settle(verb)
	if verb == specifier.RestoreZone {
		d.replyAll(&e.restoring, busy)
	} else {
		d.replyAll(&e.evacuating, busy)
	}
	if !d.Recorder.Evacuated(zone) && !e.proposes(specifier.EvacuateZone) {
		d.openZone(e)
	}
	d.forgetIdle(e)
}

func (d *Dispatcher) replyAll(waiters *[]waiter, reply specifier.QueueReply) {
	for _, from := range *waiters {
		d.reply(from, reply)
	}
	*waiters = nil
}

func (d *Dispatcher) forgetIdle(e *evacuation) {
	if at, found := d.findEvacuation(e.zone); found && e.idle() {
		d.evacuations = slices.Delete(d.evacuations, at, at+1)
	}
}

// notifyZone orders the agents of a zone to start nothing. Other agents get the version with their next order.
func (d *Dispatcher) notifyZone(e *evacuation) {
	for _, a := range d.agentsByName {
		if a.stream != 0 && e.concerns(a) {
			d.orderTo(a) // each order carries the state of the agent's zone
		}
	}
}

// concerns reports whether the agent may be in the zone.
func (e *evacuation) concerns(a *agent) bool { return a.zone == "" || a.zone == e.zone }

func (d *Dispatcher) countZone(zone string) int {
	count := 0
	for _, a := range d.agentsByName {
		if a.zone == zone {
			count++
		}
	}
	return count
}
