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

// phases returns the parts of the job's time. The entry's part is before the proposal and
// between acceptance and assignment.
func (s *summarizer) phases() []Phase {
	return []Phase{
		s.atEntry(),
		s.between(RecordWait, s.proposed, s.accepted, s.answered),
		s.onLinks(),
		s.between(QueueWait, s.queued, cmp.Or(s.started, s.refused), nil),
		s.between(RunTime, s.started, s.ended, nil),
		s.collecting(),
	}
}

// collecting is the time from the last result to the answer.
func (s *summarizer) collecting() Phase {
	if s.isRefused() {
		return Phase{Name: AnswerTime, State: Skipped}
	}
	return s.between(AnswerTime, s.returned, s.answered, nil)
}

// between measures from one step to the next of the same process. When the next is not
// recorded, cut ends the phase.
func (s *summarizer) between(name string, from, to, cut *Entry) Phase {
	switch {
	case from == nil:
		return Phase{Name: name, State: Skipped}
	case to != nil:
		return Phase{Name: name, Spent: s.until(from, to), State: Ended, Process: from.Process}
	case cut != nil:
		return Phase{Name: name, Spent: s.until(from, cut), State: Cut, Process: from.Process}
	}
	return Phase{Name: name, Spent: s.until(from, nil), State: Open, Process: from.Process}
}

func (s *summarizer) atEntry() Phase {
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

// onLinks is what the round trip between entry and agent took beyond the agent's own time.
func (s *summarizer) onLinks() Phase {
	if s.assigned == nil || s.returned == nil || s.queued == nil || s.ended == nil {
		return Phase{Name: NetworkTime, State: Skipped}
	}
	spent := s.until(s.assigned, s.returned) - s.until(s.queued, s.ended)
	return Phase{Name: NetworkTime, Spent: spent, State: Ended, Process: s.owner}
}
