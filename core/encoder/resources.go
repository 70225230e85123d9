package encoder

import "oleandertally/core/specifier"

// EncodeResources returns nil for the zero value.
func EncodeResources(resources specifier.Resources) *QueueRoom {
	if resources == (specifier.Resources{}) {
		return nil
	}
	return &QueueRoom{MilliCores: uint32(resources.MilliCores), Memory: uint32(resources.Memory), Accelerators: uint32(resources.Accelerators)}
}

// DecodeResources returns the zero value for nil.
func DecodeResources(m *QueueRoom) specifier.Resources {
	return specifier.Resources{MilliCores: int(m.GetMilliCores()), Memory: int(m.GetMemory()), Accelerators: int(m.GetAccelerators())}
}
