package tracer

import "time"

// Trace is a header and the jobs that follow it.
type Trace struct {
	Name         string
	Seed         uint64 // of the generator
	Entries      int
	Demand       float64            // offered work over capacity
	LengthMillis int                // time in which jobs arrive
	Typical      map[string]int     `json:",omitempty"` // declared run time in ms for each profile
	Teams        map[string]float64 `json:",omitempty"` // shares of the slots
	Resubmit     bool               `json:",omitempty"` // callers retry a refused job after RetryAfter
	Faults       []Fault            `json:",omitempty"`
	Jobs         []Job              `json:"-"`
}

// Length returns the time in which jobs arrive.
func (t Trace) Length() time.Duration { return millis(t.LengthMillis) }

// Without returns the trace without the jobs of a profile.
func (t Trace) Without(profile string) Trace {
	kept := t
	kept.Jobs = nil
	for _, job := range t.Jobs {
		if job.Profile != profile {
			kept.Jobs = append(kept.Jobs, job)
		}
	}
	return kept
}
