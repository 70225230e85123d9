package player

import (
	"fmt"
	"net/netip"
	"time"

	"oleandertally/core/specifier"
	"oleandertally/replay/tracer"
)

const (
	workers = tracer.Workers
	slots   = tracer.Slots / workers
	zones   = tracer.Zones
	service = "reservas"

	callerDelay     = 3 * time.Millisecond    // one way between caller and entry
	sameZoneDelay   = 200 * time.Microsecond  // one way within a zone
	crossZoneDelay  = 1500 * time.Microsecond // one way between zones
	acceptDelay     = 5 * time.Millisecond    // of the synced write that records an accepted job
	downDelay       = 2 * time.Second         // from the loss of an agent until it is recorded as down
	membershipDelay = 10 * time.Millisecond   // from a change of the membership until the entries know it
)

// Player plays one trace with one variant.
type Player struct {
	trace     tracer.Trace
	variant   Variant
	time      *timeline
	entries   []*entry
	agents    map[specifier.Identity]*agent
	agentList []*agent
	members   []specifier.Member
	jobs      map[specifier.JobID]*job
	report    *Report
}

// Play plays a whole trace and returns the report. It is deterministic: equal arguments give equal reports.
func Play(trace tracer.Trace, variant Variant) *Report {
	p := &Player{trace: trace, variant: variant, time: newTimeline(), agents: make(map[specifier.Identity]*agent),
		jobs: make(map[specifier.JobID]*job), report: &Report{Records: make([]Record, len(trace.Jobs)),
			LostTasks: make(map[int]int), Ejected: make(map[string]int), TeamSlotTime: make(map[string]time.Duration)}}
	p.addMembers()
	for i, each := range trace.Jobs {
		p.addJob(i, each)
	}
	for _, fault := range trace.Faults {
		p.time.at(epoch.Add(fault.At()), func() { p.inject(fault) })
	}
	p.time.play()
	p.report.UsefulSlotTime = usefulSlotTime(p.report.Records)
	return p.report
}

func (p *Player) addMembers() {
	for i := range workers {
		member := specifier.Member{Identity: specifier.Identity{Name: fmt.Sprintf("worker-%02d", i), Incarnation: 1},
			Role: specifier.Agent, Addr: address(i), Zone: zoneName(i * zones / workers), Rack: fmt.Sprintf("rack-%d", i/3),
			Service: service, Slots: slots, State: specifier.Up}
		a := newAgent(p, i, i*zones/workers, member)
		p.agents[member.Identity], p.agentList = a, append(p.agentList, a)
		p.members = append(p.members, member)
	}
	for i := range p.trace.Entries {
		p.members = append(p.members, specifier.Member{Identity: specifier.Identity{Name: fmt.Sprintf("entry-%d", i), Incarnation: 1},
			Role: specifier.Entry, Addr: address(100 + i), Zone: zoneName(i % zones), State: specifier.Up})
	}
	teams := make(map[string]specifier.Team)
	for name, share := range p.trace.Teams {
		teams[name] = specifier.Team{Name: name, Share: share}
	}
	for i := range p.trace.Entries {
		e := &entry{player: p, index: i, zone: i % zones,
			scheduler: p.variant.NewScheduler(p.trace.Seed+uint64(i), p.members[workers+i], teams)}
		p.entries = append(p.entries, e)
		e.setMembers(p.members)
	}
	p.startLessor(teams)
}

func (p *Player) addJob(number int, from tracer.Job) {
	p.report.Records[number].Job = from
	j := newJob(number, from, &p.report.Records[number])
	p.jobs[j.spec.ID] = j
	p.time.at(j.arrivedAt.Add(callerDelay), func() { p.entries[from.Entry].arrive(j) })
}

// send delivers a message between an entry and an agent after the network delay between their zones.
func (p *Player) send(from, to int, deliver func()) {
	p.report.Messages++
	delay := sameZoneDelay
	if from != to {
		delay = crossZoneDelay
	}
	p.time.after(delay, deliver)
}

// inject applies the faults that change the membership. The other faults take effect in runTime, when a task starts.
func (p *Player) inject(fault tracer.Fault) {
	delay, state := membershipDelay, specifier.Draining
	switch fault.Kind {
	case tracer.ZoneLost:
		delay, state = downDelay, specifier.Down
	case tracer.Drain:
	default:
		return
	}
	for i, a := range p.agentList {
		if a.zone == fault.Zone {
			a.down = fault.Kind == tracer.ZoneLost
			p.members[i].State = state
		}
	}
	p.time.after(delay, func() {
		for _, e := range p.entries {
			e.setMembers(p.members)
		}
	})
}

func (p *Player) profile(name string) specifier.Profile {
	return specifier.Profile{Name: name, Service: service, TypicalTime: time.Duration(p.trace.Typical[name]) * time.Millisecond}
}

// recordRun counts the slot time of a task that ends now.
func (p *Player) recordRun(key specifier.TaskKey, run time.Duration) {
	j := p.jobs[key.Job]
	inside := inWindow(p.trace, p.time.now, run)
	p.report.SlotTime += run
	p.report.TeamSlotTime[j.trace.Team] += inside
	j.record.windowSlotTime += inside
}

// inWindow returns the part of a run that ended at end which lies in the goodput window. The window lasts while jobs
// arrive, except for the first sixth, in which the queues fill.
func inWindow(trace tracer.Trace, end time.Time, run time.Duration) time.Duration {
	until := min(end.Sub(epoch), trace.Length())
	from := max(end.Sub(epoch)-run, trace.Length()/6)
	return max(until-from, 0)
}

func usefulSlotTime(records []Record) time.Duration {
	total := time.Duration(0)
	for _, record := range records {
		if record.Outcome == Completed && !record.Late {
			total += record.windowSlotTime
		}
	}
	return total
}

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(i + 1)}), 7000)
}

func zoneName(i int) string { return string(rune('a' + i)) }
