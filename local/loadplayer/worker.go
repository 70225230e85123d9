package loadplayer

import (
	"time"

	"oleandertally/controller/dispatcher"
	"oleandertally/core/specifier"
)

// worker is an agent and its worker.
type worker struct {
	name     string
	stream   dispatcher.Stream
	capacity specifier.Resources
	speed    float64
	rack     string   // empty for none
	fault    *Fault   // the fault in force
	faults   []*Fault // all faults of the scenario that it has
	runs     map[specifier.RunKey]*run
	ends     []specifier.RunEnd // not acknowledged
	ended    uint64             // number of the last end
	renewal  uint64
	orders   uint64 // count of the last order
	token    uint64
}

// reachable reports whether the worker and the controllers can exchange messages.
func (w *worker) reachable() bool { return w.fault == nil || w.fault.Kind != Unreachable }

// report returns a report that lists the runs, in the order of their keys' starts.
func (w *worker) report() specifier.LeaseReport {
	w.renewal++
	report := specifier.LeaseReport{Agent: w.name, Incarnation: 1, Renewal: w.renewal, LastOrder: w.orders, AllRunsKnown: true, Token: w.token,
		RunsComplete: true, Ends: w.ends,
		Worker: &specifier.LeasedWorker{ID: w.name, StartedAt: time.Unix(1, 0), Pool: pool, Capacity: w.capacity}}
	if w.rack != "" {
		report.Worker.Labels = []string{w.rack}
	}
	for key, each := range w.runs {
		report.Runs = append(report.Runs, specifier.LeasedRun{Key: key, Resources: each.request.resources})
	}
	return report
}

// finish removes a run and adds its end.
func (w *worker) finish(r *run, kind specifier.EndKind) {
	delete(w.runs, r.key)
	w.ended++
	w.ends = append(w.ends, specifier.RunEnd{Number: w.ended, Key: r.key, Kind: kind})
}

// used returns the milli-cores in use.
func (w *worker) used() int {
	total := 0
	for _, each := range w.runs {
		total += each.request.resources.MilliCores
	}
	return total
}
