package replicator

import "github.com/cockroachdb/errors"

// Check returns an error that names the first invalid field and the expected value.
func (n *Node) Check() error {
	switch {
	case n.Self.Name == "" || n.Self.Disk == 0:
		return errors.Newf("Self: got %v, expected a name and a disk identity", n.Self)
	case n.Random == nil:
		return errors.New("Random: got nil, expected a source of random numbers")
	}
	if err := n.Settings.Check(); err != nil {
		return errors.Wrap(err, "Settings")
	}
	for i, entry := range n.Recovered.Entries {
		first := n.Recovered.Entries[0]
		switch {
		case entry.Index != first.Index+Index(i):
			return errors.Newf("Recovered.Entries: got index %d at position %d, expected %d", entry.Index, i, first.Index+Index(i))
		case i > 0 && entry.Term < n.Recovered.Entries[i-1].Term:
			return errors.Newf("Recovered.Entries: term decreases at index %d", entry.Index)
		}
	}
	if entries := n.Recovered.Entries; len(entries) > 0 && entries[0].Index > n.Recovered.Snapshot.Index+1 {
		return errors.Newf("Recovered.Entries: got first index %d, expected at most %d, which follows the snapshot",
			entries[0].Index, n.Recovered.Snapshot.Index+1)
	}
	return nil
}

// valid reports whether a message from a peer is well formed. Entries must be consecutive because the journal requires it.
func (e Envelope) valid() bool {
	switch message := e.Message.(type) {
	case AppendEntries:
		return !e.From.IsZero() && message.consecutive(e.Term)
	case InstallSnapshot:
		return !e.From.IsZero() && message.Snapshot.Index > 0 && len(message.Snapshot.Servers) > 0
	}
	return e.Message != nil && !e.From.IsZero()
}

// consecutive reports whether the indexes have no gap and the terms neither decrease nor exceed maxTerm, the sender's term.
func (m AppendEntries) consecutive(maxTerm Term) bool {
	index, term := m.PrevIndex, m.PrevTerm
	for _, entry := range m.Entries {
		if entry.Index != index+1 || entry.Term < term || entry.Term > maxTerm {
			return false
		}
		index, term = entry.Index, entry.Term
	}
	return true
}
