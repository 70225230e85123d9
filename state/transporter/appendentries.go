package transporter

import "oleandertally/state/replicator"

func encodeAppendEntries(message replicator.AppendEntries) *AppendEntries {
	m := &AppendEntries{Round: message.Round, PrevIndex: uint64(message.PrevIndex), PrevTerm: uint64(message.PrevTerm),
		Commit: uint64(message.Commit)}
	for _, entry := range message.Entries {
		m.Entries = append(m.Entries, encodeEntry(entry))
	}
	return m
}

// decodeAppendEntries also checks that the entries are consecutive, because the replicator relies on it.
func decodeAppendEntries(m *AppendEntries) (replicator.AppendEntries, error) {
	message := replicator.AppendEntries{Round: m.GetRound(), PrevIndex: replicator.Index(m.GetPrevIndex()),
		PrevTerm: replicator.Term(m.GetPrevTerm()), Commit: replicator.Index(m.GetCommit())}
	for i, raw := range m.GetEntries() {
		entry, err := decodeEntry(raw)
		if err != nil {
			return message, err
		}
		if expected := message.PrevIndex + replicator.Index(i) + 1; entry.Index != expected {
			return message, malformed("AppendEntries.Entries", "has index %d at %d, expected %d", entry.Index, i, expected)
		}
		message.Entries = append(message.Entries, entry)
	}
	return message, nil
}
