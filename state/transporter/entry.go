package transporter

import (
	"google.golang.org/protobuf/proto"

	"oleandertally/state/replicator"
)

// EncodeEntry encodes one log entry in the form that the journal stores.
func EncodeEntry(entry replicator.Entry) ([]byte, error) { return proto.Marshal(encodeEntry(entry)) }

// DecodeEntry decodes a log entry that EncodeEntry encoded. It returns ErrMalformed for invalid data.
func DecodeEntry(data []byte) (replicator.Entry, error) {
	var m Entry
	if err := proto.Unmarshal(data, &m); err != nil {
		return replicator.Entry{}, malformed("Entry", "%v", err)
	}
	return decodeEntry(&m)
}

func encodeEntry(entry replicator.Entry) *Entry {
	return &Entry{Index: uint64(entry.Index), Term: uint64(entry.Term), Kind: uint32(entry.Kind), Data: entry.Data,
		Servers: encodeServers(entry.Servers)}
}

func decodeEntry(m *Entry) (replicator.Entry, error) {
	kind := replicator.EntryKind(m.Kind)
	if kind != replicator.Data && kind != replicator.Blank && kind != replicator.Membership {
		return replicator.Entry{}, malformed("Entry.Kind", "is %d", m.Kind)
	}
	servers, err := decodeServers(m.Servers)
	if err != nil {
		return replicator.Entry{}, err
	}
	return replicator.Entry{Index: replicator.Index(m.Index), Term: replicator.Term(m.Term), Kind: kind, Data: m.Data, Servers: servers}, nil
}
