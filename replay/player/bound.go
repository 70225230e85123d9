package player

import (
	"time"

	"oleandertally/core/container"
	"oleandertally/replay/tracer"
)

// Bound plays a trace on one queue that knows every run time and needs no messages: jobs in the order of
// arrival + 100 ms for each task, the longest task of a job first, admitted while the work that waits fits
// in a quarter of the job's time left. The ratio of a single job is bounded by its ideal, 1.
func PlaySingleQueue(trace tracer.Trace) *Report {
	report := &Report{Records: make([]Record, len(trace.Jobs))}
	b := &bound{trace: trace, report: report, time: newTimeline(), free: tracer.Slots, left: make([]int, len(trace.Jobs))}
	b.heap.Less = lessKnown
	for i, job := range trace.Jobs {
		report.Records[i].Job = job
		b.left[i] = len(job.RunMillis)
		b.time.at(epoch.Add(job.At()+callerDelay), func() { b.arrive(i) })
	}
	b.time.play()
	report.UsefulSlotTime = useful(report.Records)
	return report
}

// bound is the state of one queue.
type bound struct {
	trace  tracer.Trace
	report *Report
	time   *timeline
	heap   container.Heap[known]
	free   int
	left   []int         // unfinished tasks of each job
	work   time.Duration // run time of the tasks that wait
}

// known is a task whose run time is known.
type known struct {
	at   time.Time
	job  int
	task int
	run  time.Duration
}

func lessKnown(a, b known) bool {
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

func (b *bound) arrive(i int) {
	job := b.trace.Jobs[i]
	if (b.work+job.Work())/tracer.Slots > job.TimeLeft()/4 {
		b.report.Records[i].Outcome = Refused
		return
	}
	b.work += job.Work()
	at := b.time.now.Add(time.Duration(len(job.RunMillis)) * 100 * time.Millisecond)
	for task := range job.RunMillis {
		b.heap.Push(known{at: at, job: i, task: task, run: job.Run(task)})
	}
	b.start()
}

func (b *bound) start() {
	for b.free > 0 {
		next, ok := b.heap.Pop()
		if !ok {
			return
		}
		b.work -= next.run
		job := b.trace.Jobs[next.job]
		if b.time.now.After(epoch.Add(job.At() + job.TimeLeft() - next.run)) {
			continue // it would end too late, so it is not started
		}
		b.free--
		b.time.after(next.run, func() { b.finish(next) })
	}
}

func (b *bound) finish(task known) {
	b.free++
	b.report.Records[task.job].ran += inWindow(b.trace, b.time.now, task.run)
	if b.left[task.job]--; b.left[task.job] == 0 {
		record := &b.report.Records[task.job]
		record.Outcome = Completed
		record.Response = b.time.elapsed() + callerDelay - record.Job.At()
	}
	b.start()
}
