package encoder

import (
	"time"

	"oleandertally/core/specifier"
)

func encodeQueue(queue specifier.Queue) *QueueDefinition {
	return &QueueDefinition{Name: queue.Name, Host: queue.Host, Prefix: queue.Prefix, Pool: queue.Pool,
		Priority: uint32(queue.Priority), MaxAttempts: uint32(queue.MaxAttempts), Stretch: queue.Stretch, Target: int64(queue.Target)}
}

// decodeQueue returns the zero Queue for nil.
func decodeQueue(m *QueueDefinition) specifier.Queue {
	return specifier.Queue{Name: m.GetName(), Host: m.GetHost(), Prefix: m.GetPrefix(), Pool: m.GetPool(),
		Priority: int(m.GetPriority()), MaxAttempts: int(m.GetMaxAttempts()), Stretch: m.GetStretch(), Target: time.Duration(m.GetTarget())}
}
