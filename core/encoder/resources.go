package encoder

import "oleandertally/core/specifier"

// EncodeResources returns nil for no resources.
func EncodeResources(room specifier.Resources) *QueueRoom {
	if room == (specifier.Resources{}) {
		return nil
	}
	return &QueueRoom{MilliCores: uint32(room.MilliCores), Memory: uint32(room.Memory), Accelerators: uint32(room.Accelerators)}
}

// DecodeResources returns no resources for nil.
func DecodeResources(m *QueueRoom) specifier.Resources {
	return specifier.Resources{MilliCores: int(m.GetMilliCores()), Memory: int(m.GetMemory()), Accelerators: int(m.GetAccelerators())}
}
