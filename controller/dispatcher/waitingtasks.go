package dispatcher

import (
	"cmp"
	"slices"
)

// WaitingTasks is how many tasks of a queue wait for a worker, by reason.
type WaitingTasks struct {
	Queue  string
	Reason WaitingReason
	Tasks  int
}

// Waiting returns the numbers of waiting tasks, sorted by queue and reason. It is empty on a controller that does not lead.
func (d *Dispatcher) Waiting() []WaitingTasks {
	counts := make(map[WaitingTasks]int)
	for _, j := range d.jobs {
		for reason, tasks := range d.waitingOf(j) {
			counts[WaitingTasks{Queue: j.Queue, Reason: reason}] += tasks
		}
	}
	list := make([]WaitingTasks, 0, len(counts))
	for key, tasks := range counts {
		key.Tasks = tasks
		list = append(list, key)
	}
	slices.SortFunc(list, func(a, b WaitingTasks) int {
		return cmp.Or(cmp.Compare(a.Queue, b.Queue), cmp.Compare(a.Reason, b.Reason))
	})
	return list
}

// waitingOf returns the numbers of a job's waiting tasks by reason.
func (d *Dispatcher) waitingOf(j *job) map[WaitingReason]int {
	var counts map[WaitingReason]int
	for number, tasks := range j.tasks {
		waiting, aside := 0, 0
		for _, t := range tasks {
			switch {
			case t.queuedAs != 0:
				waiting++
			case t.aside && t.state == taskReady && !j.ended:
				aside++
			}
		}
		if waiting+aside == 0 {
			continue
		}
		reason := WaitsForRoom
		if d.knowsStranded() && d.stranded(d.pool(j.queue.Pool), &j.Steps[number]) {
			reason = WaitsForZone
		}
		if counts == nil {
			counts = make(map[WaitingReason]int)
		}
		if waiting > 0 {
			counts[reason] += waiting
		}
		if aside > 0 {
			counts[WaitsForWorker] += aside
		}
	}
	return counts
}
