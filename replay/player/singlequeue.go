package player

import (
	"time"

	"oleandertally/core/container"
	"oleandertally/replay/tracer"
)

// PlaySingleQueue plays a trace on a single queue that knows every run time and needs no messages. Jobs are ordered by their
// arrival plus 100 ms for each task, and the tasks of a job by run time, longest first. A job is admitted if the queued
// work, with its own, takes at most a quarter of its time left. No job has a ratio of response time to ideal below 1.
func PlaySingleQueue(trace tracer.Trace) *Report {
	report := &Report{Records: make([]Record, len(trace.Jobs))}
	q := &singleQueue{trace: trace, report: report, time: newTimeline(), freeSlots: tracer.Slots, remaining: make([]int, len(trace.Jobs))}
	q.queue.Less = taskBefore
	for i, job := range trace.Jobs {
		report.Records[i].Job = job
		q.remaining[i] = len(job.RunMillis)
		q.time.at(epoch.Add(job.At()+callerDelay), func() { q.arrive(i) })
	}
	q.time.play()
	report.UsefulSlotTime = usefulSlotTime(report.Records)
	return report
}

// singleQueue is the state of the queue and its slots.
type singleQueue struct {
	trace      tracer.Trace
	report     *Report
	time       *timeline
	queue      container.Heap[knownTask]
	freeSlots  int
	remaining  []int         // unfinished tasks of each job
	queuedWork time.Duration // total run time of the queued tasks
}

// knownTask is a task whose run time is known. The field at determines its place in the queue.
type knownTask struct {
	at   time.Time
	job  int
	task int
	run  time.Duration
}

func taskBefore(a, b knownTask) bool {
	switch {
	case !a.at.Equal(b.at):
		return a.at.Before(b.at)
	case a.job != b.job:
		return a.job < b.job
	case a.run != b.run:
		return a.run > b.run
	}
	return a.task < b.task
}

func (q *singleQueue) arrive(i int) {
	job := q.trace.Jobs[i]
	if (q.queuedWork+job.Work())/tracer.Slots > job.TimeLeft()/4 {
		q.report.Records[i].Outcome = Refused
		return
	}
	q.queuedWork += job.Work()
	at := q.time.now.Add(time.Duration(len(job.RunMillis)) * 100 * time.Millisecond)
	for task := range job.RunMillis {
		q.queue.Push(knownTask{at: at, job: i, task: task, run: job.Run(task)})
	}
	q.start()
}

func (q *singleQueue) start() {
	for q.freeSlots > 0 {
		next, ok := q.queue.Pop()
		if !ok {
			return
		}
		q.queuedWork -= next.run
		job := q.trace.Jobs[next.job]
		if q.time.now.After(epoch.Add(job.At() + job.TimeLeft() - next.run)) {
			continue // the task could not meet the deadline
		}
		q.freeSlots--
		q.time.after(next.run, func() { q.finish(next) })
	}
}

func (q *singleQueue) finish(task knownTask) {
	q.freeSlots++
	q.report.Records[task.job].windowSlotTime += inWindow(q.trace, q.time.now, task.run)
	if q.remaining[task.job]--; q.remaining[task.job] == 0 {
		record := &q.report.Records[task.job]
		record.Outcome = Completed
		record.Response = q.time.elapsed() + callerDelay - record.Job.At()
	}
	q.start()
}
