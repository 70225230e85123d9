package supervisor

import "time"

// maxFaults bounds the memory for faults that differ in their key.
const maxFaults = 1000

// FaultLimiter lets the first of equal faults through, and then one for each interval. Interval is
// set before use.
type FaultLimiter struct {
	Interval time.Duration
	faults   map[string]*fault
}

// Allow reports whether the fault called key may be logged at now, and how many equal ones were
// dropped since the last.
func (l *FaultLimiter) Allow(now time.Time, key string) (dropped int, ok bool) {
	f := l.find(now, key)
	if now.Before(f.until) {
		f.dropped++
		return 0, false
	}
	dropped, f.dropped, f.until = f.dropped, 0, now.Add(l.Interval)
	return dropped, true
}

// find forgets past faults when there are too many, and beyond that counts new keys as one.
func (l *FaultLimiter) find(now time.Time, key string) *fault {
	if l.faults == nil {
		l.faults = make(map[string]*fault)
	}
	if f, ok := l.faults[key]; ok {
		return f
	}
	if len(l.faults) >= maxFaults {
		for other, f := range l.faults {
			if !now.Before(f.until) {
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
