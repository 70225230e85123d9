package encoder

import "oleandertally/core/specifier"

// EncodeManifest returns nil for nil.
func EncodeManifest(manifest *specifier.Manifest) *QueueManifest {
	if manifest == nil {
		return nil
	}
	m := &QueueManifest{Version: manifest.Version, Unguarded: manifest.NonEnforcingPools, Document: manifest.Document}
	for _, queue := range manifest.Queues {
		m.Queues = append(m.Queues, encodeQueue(queue))
	}
	return m
}

// DecodeManifest returns nil for nil.
func DecodeManifest(m *QueueManifest) *specifier.Manifest {
	if m == nil {
		return nil
	}
	manifest := &specifier.Manifest{Version: m.Version, NonEnforcingPools: m.Unguarded, Document: m.Document}
	for _, each := range m.Queues {
		manifest.Queues = append(manifest.Queues, decodeQueue(each))
	}
	return manifest
}
