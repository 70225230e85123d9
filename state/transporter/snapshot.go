package transporter

import (
	"google.golang.org/protobuf/proto"

	"oleandertally/state/replicator"
)

// EncodeSnapshot returns the description of a snapshot, as its file stores it.
func EncodeSnapshot(snapshot replicator.Snapshot) ([]byte, error) {
	return proto.Marshal(encodeSnapshot(snapshot))
}

// DecodeSnapshot returns ErrMalformed for bytes that EncodeSnapshot did not make.
func DecodeSnapshot(data []byte) (replicator.Snapshot, error) {
	var m Snapshot
	if err := proto.Unmarshal(data, &m); err != nil {
		return replicator.Snapshot{}, malformed("Snapshot", "%v", err)
	}
	return decodeSnapshot(&m)
}

func encodeSnapshot(snapshot replicator.Snapshot) *Snapshot {
	return &Snapshot{Index: uint64(snapshot.Index), Term: uint64(snapshot.Term), Servers: encodeServers(snapshot.Servers)}
}

func decodeSnapshot(m *Snapshot) (replicator.Snapshot, error) {
	servers, err := decodeServers(m.GetServers())
	return replicator.Snapshot{Index: replicator.Index(m.GetIndex()), Term: replicator.Term(m.GetTerm()), Servers: servers}, err
}
