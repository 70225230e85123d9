package encoder

import (
	"time"

	"oleandertally/core/specifier"
)

// EncodeManifest returns nil for nil.
func EncodeManifest(manifest *specifier.Manifest) *QueueManifest {
	if manifest == nil {
		return nil
	}
	m := &QueueManifest{Version: manifest.Version, Unguarded: manifest.NonEnforcingPools, Document: manifest.Document}
	for _, queue := range manifest.Queues {
		m.Queues = append(m.Queues, &QueueDefinition{Name: queue.Name, Host: queue.Host, Prefix: queue.Prefix, Pool: queue.Pool,
			Priority: uint32(queue.Priority), MaxAttempts: uint32(queue.MaxAttempts), Stretch: queue.Stretch, Target: int64(queue.Target)})
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
		manifest.Queues = append(manifest.Queues, specifier.Queue{Name: each.Name, Host: each.Host, Prefix: each.Prefix, Pool: each.Pool,
			Priority: int(each.Priority), MaxAttempts: int(each.MaxAttempts), Stretch: each.Stretch, Target: time.Duration(each.Target)})
	}
	return manifest
}
