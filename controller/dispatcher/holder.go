package dispatcher

import (
	"slices"
	"time"

	"oleandertally/core/specifier"
)

// holder is an agent and the worker whose leases it holds.
type holder struct {
	name        string
	stream      Stream // 0 while not attached
	incarnation specifier.Incarnation
	worker      *specifier.LeasedWorker // nil until reported
	settled     bool
	leaving     bool
	listed      bool      // in this attachment and term
	enrolling   bool      // the command is on its way
	restUntil   time.Time // it refused a start; another one would be refused too
	renewed     time.Time
	grantUntil  time.Time
	orders      uint64
	used        specifier.Resources
	unknown     int // runs whose room is not known
	runs        map[specifier.RunKey]*run
	processed   uint64 // ends up to this number were handled in this life
	noted       uint64
	ends        []*pendingEnd
	health      health
}

// free returns what is left of the worker's capacity. What is being stopped still counts.
func (h *holder) free() specifier.Resources {
	if h.worker == nil || h.unknown > 0 {
		return specifier.Resources{MilliCores: -1, Memory: -1, Accelerators: -1}
	}
	return h.worker.Capacity.Minus(h.used)
}

func (h *holder) add(r *run) {
	h.runs[r.key] = r
	h.used = h.used.Plus(r.room)
	if r.room == (specifier.Resources{}) {
		h.unknown++
	}
}

// learnRoom notes what a run uses whose room was not known.
func (h *holder) learnRoom(r *run, room specifier.Resources) {
	if r.room != (specifier.Resources{}) || h.runs[r.key] != r {
		return
	}
	h.remove(r)
	r.room = room
	h.add(r)
}

func (h *holder) remove(r *run) {
	if h.runs[r.key] != r {
		return
	}
	delete(h.runs, r.key)
	h.used = h.used.Minus(r.room)
	if r.room == (specifier.Resources{}) {
		h.unknown--
	}
}

// sorted returns the runs in a stable order.
func (h *holder) sorted() []*run {
	list := make([]*run, 0, len(h.runs))
	for _, each := range h.runs {
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

// count returns how many tasks of a step run here.
func (h *holder) count(j *job, step int) int {
	total := 0
	for _, each := range h.runs {
		if each.task != nil && each.task.job == j && each.task.step == step {
			total++
		}
	}
	return total
}

// settle advances noted over the ends that are recorded.
func (h *holder) settle() bool {
	before := h.noted
	for len(h.ends) > 0 && h.ends[0].recorded {
		h.noted = h.ends[0].number
		h.ends = h.ends[1:]
	}
	return h.noted > before
}

// record notes that the end of the run is recorded, and reports whether it was one of this worker.
func (h *holder) record(key specifier.RunKey) bool {
	found := false
	for _, end := range h.ends {
		if !end.recorded && end.key == key {
			end.recorded, found = true, true
		}
	}
	return found
}
