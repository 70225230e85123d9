package sequencer

import (
	"slices"
	"time"

	"oleandertally/core/specifier"
)

func (s *Sequencer) committed(now time.Time, e Committed) {
	revision := s.Registrar.Configuration().Revision
	version := s.Registrar.MemberVersion()
	decisions := s.Registrar.Apply(e.Index, e.Batch)
	s.trackChanges(version, e.Batch)
	for i, command := range e.Batch.Commands {
		s.recordChange(command, decisions[i])
	}
	batch, own := s.logged[e.Index]
	delete(s.logged, e.Index)
	if own && batch.term == e.Term {
		for i, request := range batch.requests {
			s.decided(now, request, decisions[i])
		}
	} else if own {
		for _, request := range batch.requests {
			s.refuse(request, specifier.NotLeader)
		}
	}
	if s.leads && (s.Registrar.Configuration().Revision != revision || s.Registrar.MemberVersion() != version) {
		s.pushUpdates()
	}
}

// trackChanges adds the members that a batch may have changed to the changes, of which the newest maxChanges are kept.
func (s *Sequencer) trackChanges(before uint64, batch specifier.Batch) {
	if s.Registrar.MemberVersion() == before {
		return
	}
	for _, command := range batch.Commands {
		switch command := command.(type) {
		case specifier.JoinMember:
			s.changes = append(s.changes, change{version: s.Registrar.MemberVersion(), name: command.Member.Name})
		case specifier.EndMember:
			s.changes = append(s.changes, change{version: s.Registrar.MemberVersion(), name: command.Identity.Name})
			delete(s.leases, command.Identity)
			delete(s.ending, command.Identity)
		case specifier.DrainMember:
			s.changes = append(s.changes, change{version: s.Registrar.MemberVersion(), name: command.Name})
		}
	}
	if extra := len(s.changes) - maxChanges; extra > 0 {
		s.changesSince = s.changes[extra-1].version
		s.changes = slices.Delete(s.changes, 0, extra)
	}
}

func (s *Sequencer) decided(now time.Time, r request, d specifier.Decision) {
	join, isJoin := r.command.(specifier.JoinMember)
	switch {
	case r.stream == 0:
	case isJoin && r.sequence == 0:
		s.joinDecided(now, r.stream, join.Member, d)
	default:
		s.actions = append(s.actions, Decide{Stream: r.stream, Sequence: r.sequence, Decision: d})
	}
}

func (s *Sequencer) rejected(e Rejected) {
	for _, request := range s.submitted[e.Ticket] {
		s.refuse(request, e.Verdict)
	}
	delete(s.submitted, e.Ticket)
}

func (s *Sequencer) refuse(r request, verdict specifier.Verdict) {
	if end, ok := r.command.(specifier.EndMember); ok && r.stream == 0 {
		delete(s.ending, end.Identity)
		if until, ok := s.leases[end.Identity]; ok {
			s.grant(end.Identity, until) // the member's end is then proposed again
		}
	}
	if r.stream != 0 && r.sequence != 0 {
		s.actions = append(s.actions, Decide{Stream: r.stream, Sequence: r.sequence,
			Decision: specifier.Decision{Verdict: verdict, Leader: s.leader}})
	}
}
