package transporter

import (
	"oleandertally/core/specifier"
	"oleandertally/state/replicator"
)

func encodeServerID(id replicator.ServerID) *ServerID {
	if id.IsZero() {
		return nil
	}
	return &ServerID{Name: id.Name, Disk: id.Disk}
}

// decodeServerID decodes a missing identity as the zero identity.
func decodeServerID(m *ServerID) (replicator.ServerID, error) {
	if m == nil {
		return replicator.ServerID{}, nil
	}
	if m.Name == "" || len(m.Name) > specifier.MaxName {
		return replicator.ServerID{}, malformed("ServerID.Name", "has %d bytes, expected 1 to %d", len(m.Name), specifier.MaxName)
	}
	return replicator.ServerID{Name: m.Name, Disk: m.Disk}, nil
}
