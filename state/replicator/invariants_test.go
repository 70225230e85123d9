package replicator

import (
	"encoding/binary"
	"fmt"
	"slices"
	"time"
)

// entryKey identifies an entry in the logs of all servers.
type entryKey struct {
	index Index
	term  Term
}

// entryContent is the content that an entry must have in every log that contains it.
type entryContent struct {
	before Term // term of the entry before
	kind   EntryKind
	value  uint64
}

// invariants checks the safety invariants and stores the observations that the checks need. The names of the invariants
// appear in the errors.
type invariants struct {
	leaders     map[Term]ServerID
	entriesSeen map[entryKey]entryContent
	history     []Term   // term of each committed entry
	digests     []uint64 // digest of the state after each applied entry
}

func newInvariants() *invariants {
	return &invariants{leaders: make(map[Term]ServerID), entriesSeen: make(map[entryKey]entryContent),
		history: []Term{0}, digests: []uint64{0}}
}

// checkStep checks one server after a step that returned actions.
func (v *invariants) checkStep(h *host, hosts []*host, now time.Time, actions []Action) error {
	for _, action := range actions {
		if appended, ok := action.(Append); ok {
			if err := v.checkLogMatching(h, appended.Entries); err != nil {
				return err
			}
		}
		if err := v.checkMessageSize(h, action); err != nil {
			return err
		}
	}
	if h.node.role == Leader {
		if err := v.checkElection(h); err != nil {
			return err
		}
		if err := v.checkLogSize(h, actions); err != nil {
			return err
		}
	}
	if err := v.checkCommit(h, hosts); err != nil {
		return err
	}
	if err := v.checkPromotion(h, hosts); err != nil {
		return err
	}
	h.wasLeader, h.voters = h.node.role == Leader, h.node.members.current().voters
	return v.checkLeases(hosts, now)
}

// checkLogMatching checks that entries with the same index and term are equal in all logs, and so are the terms of the
// entries before them.
func (v *invariants) checkLogMatching(h *host, entries []Entry) error {
	before, _ := h.node.log.term(entries[0].Index - 1)
	for _, entry := range entries {
		key, got := entryKey{entry.Index, entry.Term}, entryContent{before, entry.Kind, value(entry)}
		if first, known := v.entriesSeen[key]; known && first != got {
			return fmt.Errorf("log matching: %v holds %+v at %+v, another log holds %+v", h.id, got, key, first)
		}
		v.entriesSeen[key], before = got, entry.Term
	}
	return nil
}

// checkLogSize checks that proposals do not extend a leader's log beyond MaxLog. A change of the members may.
func (v *invariants) checkLogSize(h *host, actions []Action) error {
	for _, action := range actions {
		appended, ok := action.(Append)
		if ok && appended.Entries[0].Kind == Data && h.node.log.bytes > h.node.Settings.MaxLog+maxMembership {
			return fmt.Errorf("log size: %v holds %d bytes of entries, expected at most %d", h.id, h.node.log.bytes, h.node.Settings.MaxLog)
		}
	}
	return nil
}

// maxMembership is more than the size of a membership entry in these tests.
const maxMembership = 1024

// checkMessageSize checks that one message holds at most MaxAppend bytes of entries, unless it holds a single entry.
func (v *invariants) checkMessageSize(h *host, action Action) error {
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

// checkElection checks that a term has only one leader, and that its log contains every committed entry.
func (v *invariants) checkElection(h *host) error {
	term, log := h.node.state.Term, &h.node.log
	if leader, known := v.leaders[term]; known {
		if leader != h.id {
			return fmt.Errorf("leader safety: term %d has leaders %v and %v", term, leader, h.id)
		}
		return nil
	}
	v.leaders[term] = h.id
	for index := log.base; int(index) < len(v.history); index++ {
		if ownTerm, found := log.term(index); !found || ownTerm != v.history[index] {
			return fmt.Errorf("leader completeness: %v leads term %d without committed entry %d", h.id, term, index)
		}
	}
	return nil
}

// checkCommit checks that a leader commits only entries that a majority of voters holds on disk, and that followers commit
// only entries that a leader committed. A leader may commit and then step down, or change the voters, within one step.
func (v *invariants) checkCommit(h *host, hosts []*host) error {
	leading := h.wasLeader || h.node.role == Leader
	for index := h.checkedCommit + 1; index <= h.node.commit; index++ {
		term, found := h.node.log.term(index)
		known := int(index) < len(v.history)
		switch {
		case known && found && v.history[index] != term:
			return fmt.Errorf("committed entry lost: %v commits term %d at %d, before it was term %d", h.id, term, index, v.history[index])
		case !known && !leading:
			return fmt.Errorf("commit: %v commits %d, which no leader committed", h.id, index)
		case !known:
			v.history = append(v.history, term)
		}
	}
	if leading && h.node.commit > h.checkedCommit {
		before, after := h.voters, h.node.members.current().voters
		if !v.onMajorityOfDisks(h, hosts, before) && !v.onMajorityOfDisks(h, hosts, after) {
			return fmt.Errorf("durable majority: %v commits %d without synced copies on most of %v", h.id, h.node.commit, after)
		}
	}
	h.checkedCommit = max(h.checkedCommit, h.node.commit)
	return nil
}

// checkPromotion checks that a leader promotes only servers that hold every committed entry.
func (v *invariants) checkPromotion(h *host, hosts []*host) error {
	if !h.wasLeader || h.node.role != Leader {
		return nil
	}
	for _, other := range hosts {
		added := h.node.members.current().isVoter(other.id) && !slices.Contains(h.voters, other.id)
		if added && !other.disk.isDurable(h.node.commit, v.history[h.node.commit]) {
			return fmt.Errorf("promotion: %v makes %v a voter, which lacks committed entry %d", h.id, other.id, h.node.commit)
		}
	}
	return nil
}

// onMajorityOfDisks reports whether most voters hold the last entry that h committed on disk.
func (v *invariants) onMajorityOfDisks(h *host, hosts []*host, voters []ServerID) bool {
	term, _ := h.node.log.term(h.node.commit)
	copies := 0
	for _, other := range hosts {
		if slices.Contains(voters, other.id) && other.disk.isDurable(h.node.commit, term) {
			copies++
		}
	}
	return copies > len(voters)/2
}

// checkLeases checks that no server leads a later term while another server may answer as leader.
func (v *invariants) checkLeases(hosts []*host, now time.Time) error {
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

// applyEntries applies entries to the state of h. It checks that every server applies the same sequence, without gaps, and
// only committed entries.
func (v *invariants) applyEntries(h *host, entries []Entry) error {
	for _, entry := range entries {
		if entry.Index != h.applied+1 || int(entry.Index) >= len(v.history) {
			return fmt.Errorf("applied sequence: %v applies %d after %d, committed %d", h.id, entry.Index, h.applied, len(v.history)-1)
		}
		h.applied++
		h.digest = (h.digest ^ value(entry) ^ uint64(entry.Term)<<48) * 0x9E3779B97F4A7C15
		if int(h.applied) == len(v.digests) {
			v.digests = append(v.digests, h.digest)
		}
		if err := v.checkState(h); err != nil {
			return err
		}
	}
	return nil
}

// checkState checks that the state of h equals the state that other servers had at the same index.
func (v *invariants) checkState(h *host) error {
	if int(h.applied) >= len(v.digests) || v.digests[h.applied] != h.digest {
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
