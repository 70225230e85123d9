package merger

import (
	"fmt"
	"testing"
	"time"

	"oleandertally/core/recorder"
	"oleandertally/core/specifier"
)

// BenchmarkMerge measures one question about a job of 270 tasks to an entry and a number of agents. B/op is what
// the merged time line allocates in all.
func BenchmarkMerge(b *testing.B) {
	for _, agents := range []int{11, 110, 940} {
		b.Run(fmt.Sprint(agents), func(b *testing.B) {
			logs := wideJob(agents)
			b.ReportAllocs()
			for b.Loop() {
				Merge(logs)
			}
		})
	}
}

// wideJob returns the logs of a job of 270 tasks that an entry spread over agents.
func wideJob(agents int) []Log {
	w := newWorld()
	for task := range specifier.MaxTasks {
		agent := fmt.Sprintf("worker-%03d/1", task%agents)
		about := recorder.Event{Job: specifier.JobID{1}, Task: fmt.Sprintf("t%03d", task), Epoch: 1, Other: "entry-1"}
		w.send(task, "entry-1/1", agent, about)
		w.arrive(task+1, agent, kinded(about, recorder.TaskQueued))
		w.add(task+2, agent, kinded(about, recorder.TaskStarted))
		w.add(task+500, agent, kinded(about, recorder.TaskEnded))
	}
	logs := w.logs(1000, true)
	for len(logs) < agents+1 { // agents without an event of the job answer too
		logs = append(logs, Log{RequestedAt: nine, ProcessTime: nine.Add(time.Millisecond), RepliedAt: nine.Add(2 * time.Millisecond)})
	}
	return logs
}
