package sequencer

import (
	"maps"
	"slices"
	"time"

	"oleandertally/core/specifier"
)

func (s *Sequencer) attended(now time.Time, e HeartbeatReceived) {
	if !s.leads || !s.Leading(now) {
		s.out = append(s.out, Push{Stream: e.Stream, Update: specifier.Update{NotLeader: true, Leader: s.leader}})
		delete(s.attending, e.Stream)
		return
	}
	who := s.attending[e.Stream]
	if who == nil {
		if e.Heartbeat.Member == nil {
			return // the stream was told that its member is expelled
		}
		who = &attendant{revision: e.Heartbeat.Revision}
		s.attending[e.Stream] = who
	}
	who.renewals++
	if e.Heartbeat.Needs != nil {
		who.needs = e.Heartbeat.Needs
	}
	if e.Heartbeat.Load != nil {
		who.load, who.reported = *e.Heartbeat.Load, true
	}
	if e.Heartbeat.Member != nil {
		s.announced(now, e.Stream, who, *e.Heartbeat.Member)
		return
	}
	if who.joined {
		s.renewed(now, e.Stream, who)
	}
}

// announced records a new member, or one whose address, slots or service changed.
func (s *Sequencer) announced(now time.Time, stream Stream, who *attendant, member specifier.Member) {
	member.State = ""
	who.member = member
	known := s.known(member.Name)
	state := known.State
	known.State = ""
	if known == member && state != specifier.Down {
		who.joined = true
		s.renewed(now, stream, who)
		return
	}
	if s.enqueue(request{stream: stream, command: specifier.JoinMember{Member: member}}) != nil {
		s.expel(stream)
	}
}

func (s *Sequencer) joined(now time.Time, stream Stream, member specifier.Member, d specifier.Decision) {
	who := s.attending[stream]
	if who == nil || who.member != member {
		return
	}
	if d.Verdict != specifier.Applied {
		s.expel(stream)
		return
	}
	who.joined = true
	s.renewed(now, stream, who)
}

// renewed grants a lease for each presence that waits, and sends what is new.
func (s *Sequencer) renewed(now time.Time, stream Stream, who *attendant) {
	if known := s.known(who.member.Name); known.Identity != who.member.Identity || known.State == specifier.Down {
		s.expel(stream)
		return
	}
	s.grant(who.member.Identity, now.Add(s.Lease))
	for ; who.renewals > 0; who.renewals-- {
		update := s.news(who)
		update.Lease = s.Lease
		update.Shares = s.shares(now, who)
		s.out = append(s.out, Push{Stream: stream, Update: update})
	}
}

func (s *Sequencer) expel(stream Stream) {
	s.out = append(s.out, Push{Stream: stream, Update: specifier.Update{Expelled: true}})
	delete(s.attending, stream)
}

func (s *Sequencer) known(name string) specifier.Member {
	member, _ := s.Registrar.Member(name)
	return member
}

// pushAll sends what changed to every member that attends.
func (s *Sequencer) pushAll() {
	for _, stream := range slices.Sorted(maps.Keys(s.attending)) {
		who := s.attending[stream]
		if !who.joined {
			continue
		}
		update := s.news(who)
		if update.Configuration != nil || update.Whole || len(update.Members) > 0 {
			s.out = append(s.out, Push{Stream: stream, Update: update})
		}
	}
}

// news returns what the member has not been sent. An entry gets all changed members; an agent
// needs only its own record.
func (s *Sequencer) news(who *attendant) specifier.Update {
	update := specifier.Update{MemberVersion: s.Registrar.MemberVersion()}
	if configuration := s.Registrar.Configuration(); configuration.Revision > who.revision {
		update.Configuration = &configuration
		who.revision = configuration.Revision
	}
	if who.version == update.MemberVersion {
		return update
	}
	switch {
	case who.member.Role != specifier.Entry:
		own := s.known(who.member.Name)
		if who.version < max(s.complete, 1) || s.changedSince(who.version, who.member.Name) {
			update.Members = []specifier.Member{own}
		}
	case who.version == 0 || who.version < s.complete:
		update.Whole = true
		update.Members = s.Registrar.Members()
	default:
		for _, name := range s.changed(who.version) {
			update.Members = append(update.Members, s.known(name))
		}
	}
	who.version = update.MemberVersion
	return update
}

func (s *Sequencer) changedSince(version uint64, name string) bool {
	return slices.ContainsFunc(s.changes, func(c change) bool { return c.version > version && c.name == name })
}

// changed returns the names of the members that changed after version, once each.
func (s *Sequencer) changed(version uint64) []string {
	var names []string
	for _, c := range s.changes {
		if c.version > version {
			names = append(names, c.name)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}
