package dispatcher

import (
	"maps"
	"slices"
	"time"

	"oleandertally/core/specifier"
)

const (
	// surveyInterval is how often the waiting work is looked through while a zone is evacuated.
	surveyInterval = time.Second
	// strandedDetail is the reason in refusals of jobs that only workers of evacuated zones can run.
	strandedDetail = "its workers are in evacuated zones"
)

// stranded reports whether only workers of evacuated zones can run a step: no other worker of the pool has its label, or the capacity.
// A worker that is silent counts until its agent is lost, since it may be heard again. A rack is a preference and strands nothing.
func (d *Dispatcher) stranded(p *pool, step *specifier.Step) bool {
	found := false
	for _, a := range p.agents {
		if a.leaving || a.worker.Draining || !step.Resources.Fits(a.worker.Capacity) ||
			step.Label != "" && !slices.Contains(a.worker.Labels, step.Label) {
			continue
		}
		if !d.evacuated(a) {
			return false
		}
		found = true
	}
	return found
}

// knowsStranded reports whether a zone is evacuated and this leader knows all workers. Before its recovery has ended, a worker may be
// in a zone that is not evacuated without having been heard.
func (d *Dispatcher) knowsStranded() bool {
	return d.Recorder.AnyEvacuated() && d.recoveryUntil.IsZero()
}

// strandedRefusal refuses a transient job that has a step which only workers of evacuated zones can run.
func (d *Dispatcher) strandedRefusal(p *pool, j *job) (specifier.QueueReply, bool) {
	if !j.Transient || !d.knowsStranded() || !d.anyStranded(p, j) {
		return specifier.QueueReply{}, false
	}
	return specifier.QueueReply{Result: specifier.QueueRefused, RetryAfter: maxRetryAfter, Detail: strandedDetail}, true
}

func (d *Dispatcher) anyStranded(p *pool, j *job) bool {
	for number := range j.Steps {
		if j.openTasks[number] > 0 && d.stranded(p, &j.Steps[number]) {
			return true
		}
	}
	return false
}

// survey refuses the waiting transient jobs of which nothing has started and that only workers of evacuated zones can run. It logs for
// each queue when tasks begin and cease to wait for evacuated zones only.
func (d *Dispatcher) survey() {
	if !d.knowsStranded() && len(d.strandedTasks) == 0 || d.now.Before(d.surveyAt) {
		return
	}
	d.surveyAt = d.now.Add(surveyInterval)
	d.wake(d.surveyAt, timer{})
	tasks := make(map[string]int)
	if d.knowsStranded() {
		for _, id := range slices.Sorted(maps.Keys(d.jobs)) {
			j := d.jobs[id]
			if j.ended {
				continue
			}
			if !j.started {
				if reply, refused := d.strandedRefusal(d.pool(j.queue.Pool), j); refused {
					d.finish(j, reply)
					continue
				}
			}
			if waiting := d.waitingOf(j)[WaitsForZone]; waiting > 0 {
				tasks[j.Queue] += waiting
			}
		}
	}
	for _, queue := range slices.Sorted(maps.Keys(tasks)) {
		if d.strandedTasks[queue] == 0 {
			d.emit(LogEvent{Event: "WorkWaitsForZone", Queue: queue, Count: tasks[queue]})
		}
	}
	for _, queue := range slices.Sorted(maps.Keys(d.strandedTasks)) {
		if tasks[queue] == 0 {
			d.emit(LogEvent{Event: "WorkWaitsForZoneEnded", Queue: queue})
		}
	}
	d.strandedTasks = tasks
}
