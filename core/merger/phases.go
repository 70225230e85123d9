package merger

import "cmp"

// The names of the phases, in order.
const (
	EntryWait   = "waiting at the entry"
	RecordWait  = "waiting for the record"
	NetworkTime = "on links"
	QueueWait   = "waiting in the agent's queue"
	RunTime     = "running"
	AnswerTime  = "collecting the answer"
)

// phases returns the phases of the job. The wait at the entry is the time before the proposal plus the time between
// acceptance and assignment.
func (s *summarizer) phases() []Phase {
	return []Phase{
		s.entryWait(),
		s.between(RecordWait, s.proposed, s.accepted, s.answered),
		s.networkTime(),
		s.between(QueueWait, s.queued, cmp.Or(s.started, s.refused), nil),
		s.between(RunTime, s.started, s.ended, nil),
		s.answerTime(),
	}
}

// answerTime returns the time from the last result to the answer.
func (s *summarizer) answerTime() Phase {
	if s.isRefused() {
		return Phase{Name: AnswerTime, State: Skipped}
	}
	return s.between(AnswerTime, s.returned, s.answered, nil)
}

// between returns the phase between two steps of the same process. When the second step is not recorded, cut ends the
// phase.
func (s *summarizer) between(name string, from, to, cut *Entry) Phase {
	switch {
	case from == nil:
		return Phase{Name: name, State: Skipped}
	case to != nil:
		return Phase{Name: name, Spent: s.durationBetween(from, to), State: Ended, Process: from.Process}
	case cut != nil:
		return Phase{Name: name, Spent: s.durationBetween(from, cut), State: Cut, Process: from.Process}
	}
	return Phase{Name: name, Spent: s.durationBetween(from, nil), State: Open, Process: from.Process}
}

// entryWait returns the time that the job waited at the entry.
func (s *summarizer) entryWait() Phase {
	before := s.between(EntryWait, s.submitted, s.proposed, s.answered)
	if s.accepted == nil {
		return before
	}
	assigned := s.assigned
	if s.isRefused() {
		assigned = nil
	}
	after := s.between(EntryWait, s.accepted, assigned, s.answered)
	after.Spent += before.Spent
	return after
}

// networkTime returns the round-trip time between entry and agent minus the time that the agent itself took.
func (s *summarizer) networkTime() Phase {
	if s.assigned == nil || s.returned == nil || s.queued == nil || s.ended == nil {
		return Phase{Name: NetworkTime, State: Skipped}
	}
	spent := s.durationBetween(s.assigned, s.returned) - s.durationBetween(s.queued, s.ended)
	return Phase{Name: NetworkTime, Spent: spent, State: Ended, Process: s.owner}
}
