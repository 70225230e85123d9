package supervisor

import "time"

// maxFaults limits the memory for faults with different keys.
const maxFaults = 1000

// FaultLimiter decides which of several equal faults are logged: the first, and then at most one in each
// Interval. Interval must be set before use.
type FaultLimiter struct {
	Interval time.Duration
	faults   map[string]*fault
}

// Allow reports whether the fault with this key may be logged at now, and how many faults with the
// same key were dropped since the last logged one.
func (l *FaultLimiter) Allow(now time.Time, key string) (dropped int, ok bool) {
	f := l.find(now, key)
	if now.Before(f.suppressedUntil) {
		f.dropped++
		return 0, false
	}
	dropped, f.dropped, f.suppressedUntil = f.dropped, 0, now.Add(l.Interval)
	return dropped, true
}

// find returns the state of key and creates it if necessary. When there are maxFaults keys, it deletes
// those that are no longer suppressed; if none can be deleted, new keys share the state of the empty key.
func (l *FaultLimiter) find(now time.Time, key string) *fault {
	if l.faults == nil {
		l.faults = make(map[string]*fault)
	}
	if f, ok := l.faults[key]; ok {
		return f
	}
	if len(l.faults) >= maxFaults {
		for other, f := range l.faults {
			if !now.Before(f.suppressedUntil) {
				delete(l.faults, other)
			}
		}
	}
	if len(l.faults) >= maxFaults {
		key = ""
	}
	if l.faults[key] == nil {
		l.faults[key] = &fault{}
	}
	return l.faults[key]
}
