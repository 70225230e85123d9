package transporter

import (
	"google.golang.org/protobuf/proto"

	"oleandertally/state/replicator"
)

// EncodeSnapshot encodes the description of a snapshot in the form that the snapshot file stores.
func EncodeSnapshot(snapshot replicator.Snapshot) ([]byte, error) {
	return proto.Marshal(encodeSnapshot(snapshot))
}

// DecodeSnapshot decodes a description that EncodeSnapshot encoded. It returns ErrMalformed for invalid data.
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
