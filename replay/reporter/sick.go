package reporter

import (
	"fmt"

	"oleandertally/replay/tracer"
)

// sick reports whether a trace makes the named worker fail tasks.
func sick(trace tracer.Trace, name string) bool {
	for _, fault := range trace.Faults {
		if fault.Kind == tracer.BlackHole && name == fmt.Sprintf("worker-%02d", fault.Worker) {
			return true
		}
	}
	return false
}
