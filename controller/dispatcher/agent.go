package dispatcher

import (
	"slices"
	"time"

	"oleandertally/core/specifier"
	"oleandertally/dispatch/placer"
)

// agent is an agent process and the worker whose leases it holds.
type agent struct {
	name              string
	stream            Stream // 0 while disconnected
	incarnation       specifier.Incarnation
	worker            *specifier.LeasedWorker // nil until reported
	settled           bool                    // every run is listed, and no start with an earlier fencing token can happen any more
	endsCut           bool                    // the worker has not listed all its ends to the agent
	leaving           bool                    // the agent is being stopped
	zone              string                  // availability zone of its host; empty if it has not said
	evacuationVersion uint64                  // newest evacuation version that it has applied while none of its starts was under way
	startsListedAt    time.Time               // when its complete list last showed that it has every order and that no run is starting
	coldUntil         time.Time               // when the worker reaches its full speed, by its own account
	listed            bool                    // has sent its list of runs on this stream and in this term
	enrolling         bool                    // an Enroll or Dismiss command is in the log and not committed
	noStartsUntil     time.Time               // after a refused start, because another one would be refused too
	renewedAt         time.Time
	grantUntil        time.Time
	orderCount        uint64 // orders with a start or a stop
	used              specifier.Resources
	unknownRuns       int // runs whose resources are not known
	runs              map[specifier.RunKey]*run
	endsOf            time.Time // start of the worker incarnation whose ends are counted by the following fields
	handledEnd        uint64    // number of the last end handled
	acknowledgedEnd   uint64    // number of the last end that need not be reported again
	ends              []*pendingEnd
	health            health
	pace              float64 // see Dispatcher.pace; when its place was last updated
	slow              bool    // logged as slow
	endSum            float64 // expected ends of its runs times their milli-cores, in seconds since endBase
	endBase           int64   // Unix time in nanoseconds
	memberships       []*membership
	pool              *pool // pool of its worker; nil until reported
	place             placer.Place[*agent]
	touched           bool // its place is out of date
	indexedFree       int  // free milli-cores when its place was last updated; 0 without a place
}

// free returns the unused part of the worker's capacity. Runs that are being stopped still use their resources.
func (a *agent) free() specifier.Resources {
	if a.worker == nil || a.unknownRuns > 0 {
		return specifier.Resources{MilliCores: -1, Memory: -1, Accelerators: -1}
	}
	return a.worker.Capacity.Minus(a.used)
}

func (a *agent) add(r *run) {
	a.runs[r.key] = r
	a.used = a.used.Plus(r.resources)
	a.expectEnd(r, 1)
	if r.resources == (specifier.Resources{}) {
		a.unknownRuns++
	}
}

// setResources sets the resources of a run for which they were not known.
func (a *agent) setResources(r *run, resources specifier.Resources) {
	if r.resources != (specifier.Resources{}) || a.runs[r.key] != r {
		return
	}
	kind := r.kind
	a.remove(r)
	r.resources = resources
	a.add(r)
	r.count(kind)
}

func (a *agent) remove(r *run) {
	if a.runs[r.key] != r {
		return
	}
	delete(a.runs, r.key)
	r.count(nil)
	a.used = a.used.Minus(r.resources)
	a.expectEnd(r, -1)
	if r.resources == (specifier.Resources{}) {
		a.unknownRuns--
	}
}

// sortedRuns returns the runs by task and run number.
func (a *agent) sortedRuns() []*run {
	list := make([]*run, 0, len(a.runs))
	for _, each := range a.runs {
		list = append(list, each)
	}
	slices.SortFunc(list, func(a, b *run) int {
		if a.key.Task != b.key.Task {
			if a.key.Task < b.key.Task {
				return -1
			}
			return 1
		}
		return int(int64(a.key.Run) - int64(b.key.Run))
	})
	return list
}

// countRuns returns how many tasks of a step run at this agent.
func (a *agent) countRuns(j *job, step int) int {
	total := 0
	for _, each := range a.runs {
		if each.task != nil && each.task.job == j && each.task.stepNumber == step {
			total++
		}
	}
	return total
}

// advanceAcknowledged moves acknowledgedEnd past the ends that are recorded, and reports whether it moved.
func (a *agent) advanceAcknowledged() bool {
	before := a.acknowledgedEnd
	for len(a.ends) > 0 && a.ends[0].recorded {
		a.acknowledgedEnd = a.ends[0].number
		a.ends = a.ends[1:]
	}
	return a.acknowledgedEnd > before
}

// reportsAcknowledged reports whether one of the ends that the agent still reports is acknowledged.
func (a *agent) reportsAcknowledged(ends []specifier.RunEnd) bool {
	return slices.ContainsFunc(ends, func(end specifier.RunEnd) bool { return end.Number <= a.acknowledgedEnd })
}

// selectEnds prepares for the ends that a report lists: those of another incarnation of the worker are numbered from 1 again. The incarnation
// may be one that the worker has not announced to a restarted agent yet.
func (a *agent) selectEnds(report specifier.LeaseReport) {
	startedAt := report.WorkerStartedAt
	if startedAt.IsZero() && report.Worker != nil {
		startedAt = report.Worker.StartedAt // an agent of an earlier version
	}
	if startedAt.IsZero() || startedAt.Equal(a.endsOf) {
		return
	}
	a.endsOf, a.handledEnd, a.acknowledgedEnd, a.ends = startedAt, 0, 0, nil
}

// markRecorded marks the end of the run as recorded, and reports whether it was a run of this worker.
func (a *agent) markRecorded(key specifier.RunKey) bool {
	found := false
	for _, end := range a.ends {
		if !end.recorded && end.key == key {
			end.recorded, found = true, true
		}
	}
	return found
}
