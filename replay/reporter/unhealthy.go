package reporter

import (
	"fmt"

	"oleandertally/replay/tracer"
)

// isUnhealthy reports whether the trace has a fault that makes the named worker fail its tasks.
func isUnhealthy(trace tracer.Trace, name string) bool {
	for _, fault := range trace.Faults {
		if fault.Kind == tracer.BlackHole && name == fmt.Sprintf("worker-%02d", fault.Worker) {
			return true
		}
	}
	return false
}
