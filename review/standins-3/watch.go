package main

import (
	"fmt"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// watch knows what clients have handed in and what workers have run, and judges the jobs by it.
type watch struct {
	record  *record
	workers []*worker

	mutex sync.Mutex
	jobs  map[string]*watched
}

// watched is what is known of a job.
type watched struct {
	job        *job
	acceptedAt time.Time
	starts     []time.Time
	running    map[string]bool
	done       map[string]bool
	failures   map[string]int
	idleSince  time.Time // since then it has nothing running although it could; zero for not
}

const (
	// idleLimit is the time for which a job whose turn has come may have nothing running while there is capacity.
	idleLimit      = 3 * time.Second
	sampleInterval = 50 * time.Millisecond
	// roomFactor is how many times over there has to be capacity for a task.
	roomFactor = 2
)

func newWatch(r *record) *watch { return &watch{record: r, jobs: make(map[string]*watched)} }

func (w *watch) submitted(j *job) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.jobs[j.id] = &watched{job: j, running: make(map[string]bool), done: make(map[string]bool), failures: make(map[string]int)}
}

func (w *watch) accepted(j *job) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if known := w.jobs[j.id]; known.acceptedAt.IsZero() {
		known.acceptedAt = time.Now()
	}
}

// of returns the job of a task.
func (w *watch) of(task string) *watched {
	id, _, _ := strings.Cut(task, ".")
	return w.jobs[id]
}

func (w *watch) started(task, worker string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	known := w.of(task)
	if known == nil {
		w.record.broken("UNASKED: %s starts at %s, and nobody handed it in", task, worker)
		return
	}
	if known.running[task] {
		w.record.broken("TWICE: %s starts at %s while it runs", task, worker)
	}
	known.running[task] = true
	known.starts = append(known.starts, time.Now())
}

func (w *watch) ended(task, how string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if known := w.of(task); known != nil {
		delete(known.running, task)
		known.done[task] = known.done[task] || how == "done"
		if how == "failed" {
			known.failures[task]++
		}
	}
}

// need returns what a task asks for.
func (w *watch) need(task string) resources {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	known, parts := w.of(task), strings.Split(task, ".")
	number, err := strconv.Atoi(parts[2])
	if known == nil || err != nil || number >= len(known.job.steps) {
		return resources{}
	}
	return resources{CPU: known.job.steps[number].CPU, Memory: known.job.steps[number].Memory}
}

// startsOf returns when tasks of a job were started.
func (w *watch) startsOf(j *job) []time.Time {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return append([]time.Time{}, w.jobs[j.id].starts...)
}

func (w *watch) runsNow(j *job) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return len(w.jobs[j.id].running) > 0
}

// hasFailed reports whether a task has used all its attempts.
func (k *watched) hasFailed() bool {
	for _, failures := range k.failures {
		if failures >= maxAttempts {
			return true
		}
	}
	return false
}

// turn returns the first step of which a task could run now: the steps before it are done.
func (k *watched) turn() (step, bool) {
	for number, each := range k.job.steps {
		ready := true
		for _, before := range each.After {
			ready = ready && k.doneOf(before) == k.job.steps[before].Count
		}
		if ready && k.doneOf(number) < each.Count {
			return each, true
		}
	}
	return step{}, false
}

func (k *watched) doneOf(step int) int {
	count := 0
	for task, done := range k.done {
		if done && strings.HasPrefix(task, fmt.Sprintf("%s.0.%d.", k.job.id, step)) {
			count++
		}
	}
	return count
}

// room reports whether the workers that are up have capacity for a task of the step twice over, while under half of the capacity of
// the service is in use.
func (w *watch) room(s step) bool {
	slots, inUse, total := 0, 0, 0
	for _, each := range w.workers {
		used := each.used()
		total += each.capacity.CPU
		inUse += used.CPU
		if !each.isUp() || s.Requirements != "" && !contains(each.labels, s.Requirements) {
			continue
		}
		fits := each.capacity.CPU - used.CPU
		if s.CPU > 0 {
			fits /= s.CPU
		}
		if s.Memory > 0 {
			fits = min(fits, (each.capacity.Memory-used.Memory)/s.Memory)
		}
		slots += max(fits, 0)
	}
	return slots >= roomFactor && 2*inUse < total
}

func contains(list []string, text string) bool {
	for _, each := range list {
		if each == text {
			return true
		}
	}
	return false
}

// judgeIdle samples the accepted jobs for a time. It notes LOST for each that has nothing running for idleLimit on end, while the turn
// of one of its tasks has come, there is capacity for it twice over, and under half of the service's capacity is in use.
func (w *watch) judgeIdle(span time.Duration) {
	judged := make(map[string]bool)
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(sampleInterval) {
		for _, known := range w.acceptedJobs() {
			if judged[known.job.id] || !w.isIdle(known) {
				known.idleSince = time.Time{}
				continue
			}
			if known.idleSince.IsZero() {
				known.idleSince = time.Now()
			}
			if idle := time.Since(known.idleSince); idle >= idleLimit {
				judged[known.job.id] = true
				w.record.broken("LOST: job %s was accepted %.1f s ago and has had nothing running for %.1f s, with capacity for it",
					known.job.id, time.Since(known.acceptedAt).Seconds(), idle.Seconds())
			}
		}
	}
}

func (w *watch) acceptedJobs() []*watched {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	var list []*watched
	for _, known := range w.jobs {
		if !known.acceptedAt.IsZero() {
			list = append(list, known)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].job.id < list[j].job.id })
	return list
}

func (w *watch) isIdle(known *watched) bool {
	w.mutex.Lock()
	ready, open := known.turn()
	busy, failed := len(known.running) > 0, known.hasFailed()
	w.mutex.Unlock()
	return open && !failed && !busy && w.room(ready)
}
