package sequencer

import (
	"maps"
	"slices"
	"time"

	"oleandertally/core/specifier"
)

func (s *Sequencer) heartbeatReceived(now time.Time, e HeartbeatReceived) {
	if !s.leads || !s.Leading(now) {
		s.actions = append(s.actions, Push{Stream: e.Stream, Update: specifier.Update{NotLeader: true, Leader: s.leader}})
		delete(s.sessions, e.Stream)
		return
	}
	sess := s.sessions[e.Stream]
	if sess == nil {
		if e.Heartbeat.Member == nil {
			return // the session has ended: its member was expelled
		}
		sess = &session{revision: e.Heartbeat.Revision}
		s.sessions[e.Stream] = sess
	}
	sess.unanswered++
	if e.Heartbeat.Needs != nil {
		sess.needs = e.Heartbeat.Needs
	}
	if e.Heartbeat.Load != nil {
		sess.load, sess.hasLoad = *e.Heartbeat.Load, true
	}
	if e.Heartbeat.Member != nil {
		s.announce(now, e.Stream, sess, *e.Heartbeat.Member)
		return
	}
	if sess.joined {
		s.renew(now, e.Stream, sess)
	}
}

// announce handles a heartbeat that describes its member. A member that is new, down or changed is proposed to the log, and gets a
// lease when that is committed.
func (s *Sequencer) announce(now time.Time, stream Stream, sess *session, member specifier.Member) {
	member.State = ""
	sess.member = member
	known := s.member(member.Name)
	state := known.State
	known.State = ""
	if known == member && state != specifier.Down {
		sess.joined = true
		s.renew(now, stream, sess)
		return
	}
	if s.enqueue(request{stream: stream, command: specifier.JoinMember{Member: member}}) != nil {
		s.expel(stream)
	}
}

func (s *Sequencer) joinDecided(now time.Time, stream Stream, member specifier.Member, d specifier.Decision) {
	sess := s.sessions[stream]
	if sess == nil || sess.member != member {
		return
	}
	if d.Verdict != specifier.Applied {
		s.expel(stream)
		return
	}
	sess.joined = true
	s.renew(now, stream, sess)
}

// renew extends the member's lease, and answers each unanswered heartbeat with the lease and what has changed.
func (s *Sequencer) renew(now time.Time, stream Stream, sess *session) {
	if known := s.member(sess.member.Name); known.Identity != sess.member.Identity || known.State == specifier.Down {
		s.expel(stream)
		return
	}
	s.grant(sess.member.Identity, now.Add(s.Lease))
	for ; sess.unanswered > 0; sess.unanswered-- {
		update := s.unsentUpdate(sess)
		update.Lease = s.Lease
		update.Shares = s.shares(now, sess)
		s.actions = append(s.actions, Push{Stream: stream, Update: update})
	}
}

func (s *Sequencer) expel(stream Stream) {
	s.actions = append(s.actions, Push{Stream: stream, Update: specifier.Update{Expelled: true}})
	delete(s.sessions, stream)
}

func (s *Sequencer) member(name string) specifier.Member {
	member, _ := s.Registrar.Member(name)
	return member
}

// pushUpdates sends what has changed to every joined member.
func (s *Sequencer) pushUpdates() {
	for _, stream := range slices.Sorted(maps.Keys(s.sessions)) {
		sess := s.sessions[stream]
		if !sess.joined {
			continue
		}
		update := s.unsentUpdate(sess)
		if update.Configuration != nil || update.MembersComplete || len(update.Members) > 0 {
			s.actions = append(s.actions, Push{Stream: stream, Update: update})
		}
	}
}

// unsentUpdate returns what the member has not been sent. An entry gets all changed members; an agent
// needs only its own record.
func (s *Sequencer) unsentUpdate(sess *session) specifier.Update {
	update := specifier.Update{MemberVersion: s.Registrar.MemberVersion()}
	if configuration := s.Registrar.Configuration(); configuration.Revision > sess.revision {
		update.Configuration = &configuration
		sess.revision = configuration.Revision
	}
	if sess.version == update.MemberVersion {
		return update
	}
	switch {
	case sess.member.Role != specifier.Entry:
		own := s.member(sess.member.Name)
		if sess.version < max(s.changesSince, 1) || s.changedSince(sess.version, sess.member.Name) {
			update.Members = []specifier.Member{own}
		}
	case sess.version == 0 || sess.version < s.changesSince:
		update.MembersComplete = true
		update.Members = s.Registrar.Members()
	default:
		for _, name := range s.changed(sess.version) {
			update.Members = append(update.Members, s.member(name))
		}
	}
	sess.version = update.MemberVersion
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
