package replicator

import (
	"encoding/binary"
	"fmt"
	"slices"
	"time"
)

// position is one entry of some server's log.
type entryKey struct {
	index Index
	term  Term
}

// content is what a position must hold in every log that has it.
type entryContent struct {
	before Term
	kind   EntryKind
	value  uint64
}

// rules holds what the checks remember of a run. The names of the rules appear in the errors.
type invariants struct {
	leaders     map[Term]ServerID
	entriesSeen map[entryKey]entryContent
	history     []Term   // of each committed entry
	digests     []uint64 // of the state after each applied entry
}

func newInvariants() *invariants {
	return &invariants{leaders: make(map[Term]ServerID), entriesSeen: make(map[entryKey]entryContent), history: []Term{0}, digests: []uint64{0}}
}

// observe checks one server after a step that returned actions.
func (r *invariants) checkStep(h *host, hosts []*host, now time.Time, actions []Action) error {
	for _, action := range actions {
		if appended, ok := action.(Append); ok {
			if err := r.checkLogMatching(h, appended.Entries); err != nil {
				return err
			}
		}
		if err := r.checkMessageSize(h, action); err != nil {
			return err
		}
	}
	if h.node.role == Leader {
		if err := r.checkElection(h); err != nil {
			return err
		}
	}
	if err := r.checkCommit(h, hosts); err != nil {
		return err
	}
	if err := r.checkPromotion(h, hosts); err != nil {
		return err
	}
	h.wasLeader, h.voters = h.node.role == Leader, h.node.members.current().voters
	return r.checkLeases(hosts, now)
}

// matches: an entry with the same index and term is the same in all logs, and so is the one before it.
func (r *invariants) checkLogMatching(h *host, entries []Entry) error {
	before, _ := h.node.log.term(entries[0].Index - 1)
	for _, entry := range entries {
		key, got := entryKey{entry.Index, entry.Term}, entryContent{before, entry.Kind, value(entry)}
		if first, known := r.entriesSeen[key]; known && first != got {
			return fmt.Errorf("log matching: %v holds %+v at %+v, another log holds %+v", h.id, got, key, first)
		}
		r.entriesSeen[key], before = got, entry.Term
	}
	return nil
}

// bounded: one message holds at most MaxAppend bytes of entries, unless it is a single entry.
func (r *invariants) checkMessageSize(h *host, action Action) error {
	send, _ := action.(Send)
	message, _ := send.Envelope.Message.(AppendEntries)
	size := 0
	for _, entry := range message.Entries {
		size += entry.size()
	}
	if size > h.node.Settings.MaxAppend && len(message.Entries) > 1 {
		return fmt.Errorf("message size: %v sends %d bytes", h.id, size)
	}
	return nil
}

// elected: a term has one leader, whose log contains every committed entry.
func (r *invariants) checkElection(h *host) error {
	term, log := h.node.state.Term, &h.node.log
	if leader, known := r.leaders[term]; known {
		if leader != h.id {
			return fmt.Errorf("leader safety: term %d has leaders %v and %v", term, leader, h.id)
		}
		return nil
	}
	r.leaders[term] = h.id
	for index := log.base; int(index) < len(r.history); index++ {
		if ownTerm, found := log.term(index); !found || ownTerm != r.history[index] {
			return fmt.Errorf("leader completeness: %v leads term %d without committed entry %d", h.id, term, index)
		}
	}
	return nil
}

// committed: a leader commits what a majority of voters holds on disk; nobody commits anything else. A leader
// may commit and then give up the lead, or change the voters, within the same step.
func (r *invariants) checkCommit(h *host, hosts []*host) error {
	leading := h.wasLeader || h.node.role == Leader
	for index := h.checkedCommit + 1; index <= h.node.commit; index++ {
		term, found := h.node.log.term(index)
		known := int(index) < len(r.history)
		switch {
		case known && found && r.history[index] != term:
			return fmt.Errorf("committed entry lost: %v commits term %d at %d, before it was term %d", h.id, term, index, r.history[index])
		case !known && !leading:
			return fmt.Errorf("commit: %v commits %d, which no leader committed", h.id, index)
		case !known:
			r.history = append(r.history, term)
		}
	}
	if leading && h.node.commit > h.checkedCommit {
		before, after := h.voters, h.node.members.current().voters
		if !r.onMajorityOfDisks(h, hosts, before) && !r.onMajorityOfDisks(h, hosts, after) {
			return fmt.Errorf("durable majority: %v commits %d without synced copies on most of %v", h.id, h.node.commit, after)
		}
	}
	h.checkedCommit = max(h.checkedCommit, h.node.commit)
	return nil
}

// promoted: a leader makes only those servers voters that hold every committed entry.
func (r *invariants) checkPromotion(h *host, hosts []*host) error {
	if !h.wasLeader || h.node.role != Leader {
		return nil
	}
	for _, other := range hosts {
		added := h.node.members.current().isVoter(other.id) && !slices.Contains(h.voters, other.id)
		if added && !other.disk.isDurable(h.node.commit, r.history[h.node.commit]) {
			return fmt.Errorf("promotion: %v makes %v a voter, which lacks committed entry %d", h.id, other.id, h.node.commit)
		}
	}
	return nil
}

func (r *invariants) onMajorityOfDisks(h *host, hosts []*host, voters []ServerID) bool {
	term, _ := h.node.log.term(h.node.commit)
	copies := 0
	for _, other := range hosts {
		if slices.Contains(voters, other.id) && other.disk.isDurable(h.node.commit, term) {
			copies++
		}
	}
	return copies > len(voters)/2
}

// leases: while a server may answer as leader, no other may, and none leads a later term.
func (r *invariants) checkLeases(hosts []*host, now time.Time) error {
	for _, h := range hosts {
		if !h.up || !h.node.Leading(h.clock(now)) {
			continue
		}
		for _, other := range hosts {
			if other != h && other.up && other.node.role == Leader && other.node.state.Term > h.node.state.Term {
				return fmt.Errorf("lease: %v may answer in term %d while %v leads term %d", h.id, h.node.state.Term,
					other.id, other.node.state.Term)
			}
		}
	}
	return nil
}

// apply: every server applies the same sequence, without gaps, and only what is committed.
func (r *invariants) applyEntries(h *host, entries []Entry) error {
	for _, entry := range entries {
		if entry.Index != h.applied+1 || int(entry.Index) >= len(r.history) {
			return fmt.Errorf("applied sequence: %v applies %d after %d, committed %d", h.id, entry.Index, h.applied, len(r.history)-1)
		}
		h.applied++
		h.digest = (h.digest ^ value(entry) ^ uint64(entry.Term)<<48) * 0x9E3779B97F4A7C15
		if int(h.applied) == len(r.digests) {
			r.digests = append(r.digests, h.digest)
		}
		if err := r.checkState(h); err != nil {
			return err
		}
	}
	return nil
}

// restored: the state of a server equals that of the others at the same index.
func (r *invariants) checkState(h *host) error {
	if int(h.applied) >= len(r.digests) || r.digests[h.applied] != h.digest {
		return fmt.Errorf("applied sequence: the state of %v at %d differs from the first one", h.id, h.applied)
	}
	return nil
}

func value(entry Entry) uint64 {
	if entry.Kind == Data {
		return binary.BigEndian.Uint64(entry.Data)
	}
	return uint64(entry.Kind)<<32 + uint64(len(entry.Servers))
}
