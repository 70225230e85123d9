package player

import (
	"strconv"
	"time"

	"oleandertally/core/specifier"
	"oleandertally/dispatch/scheduler"
	"oleandertally/replay/tracer"
)

// job is a submitted job and its progress.
type job struct {
	trace      tracer.Job
	spec       specifier.Job
	arrivedAt  time.Time
	record     *Record
	index      map[string]int // index of each task in the trace's job, by task ID
	remaining  int
	unfinished map[*agent]int // unfinished tasks sent to each agent
	ended      bool
	attempts   int
}

func newJob(number int, from tracer.Job, record *Record) *job {
	id := specifier.NewJobID(from.Team, strconv.Itoa(number))
	j := &job{trace: from, record: record, index: make(map[string]int), remaining: len(from.RunMillis),
		unfinished: make(map[*agent]int), arrivedAt: epoch.Add(from.At())}
	j.spec = specifier.Job{ID: id, Team: from.Team, Key: strconv.Itoa(number), Profile: from.Profile,
		Deadline: j.arrivedAt.Add(from.TimeLeft())}
	for i := range from.RunMillis {
		name := strconv.Itoa(i)
		j.index[name] = i
		j.spec.Tasks = append(j.spec.Tasks, specifier.Task{ID: name})
	}
	return j
}

// items returns the tasks, with their place in the order of the variant's policy.
func (j *job) items(now time.Time, variant Variant, service string) []scheduler.Item {
	var items []scheduler.Item
	at := variant.Order.OrderTime(now, len(j.spec.Tasks), 0)
	for _, task := range j.spec.Tasks {
		key := specifier.TaskKey{Job: j.spec.ID, Task: task.ID}
		item := scheduler.Item{Key: key, Service: service, Profile: j.spec.Profile, Team: j.spec.Team, Deadline: j.spec.Deadline}
		item.Order.At, item.Order.Job, item.Order.Task = at, key.Job, key.Task
		items = append(items, item)
	}
	return items
}
