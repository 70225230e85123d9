package merger

import (
	"fmt"
	"testing"
	"time"

	"oleandertally/core/recorder"
	"oleandertally/core/specifier"
)

// BenchmarkMerge merges the events of a job of 270 tasks from one entry and a number of agents. B/op is all memory that
// the merge allocates.
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

// wideJob returns the logs of a job of 270 tasks that one entry spreads over the agents.
func wideJob(agents int) []Log {
	w := newWorld()
	for task := range specifier.MaxTasks {
		agent := fmt.Sprintf("worker-%03d/1", task%agents)
		base := recorder.Event{Job: specifier.JobID{1}, Task: fmt.Sprintf("t%03d", task), Epoch: 1, Other: "entry-1"}
		w.send(task, "entry-1/1", agent, base)
		w.arrive(task+1, agent, withKind(base, recorder.TaskQueued))
		w.add(task+2, agent, withKind(base, recorder.TaskStarted))
		w.add(task+500, agent, withKind(base, recorder.TaskEnded))
	}
	logs := w.logs(1000, true)
	for len(logs) < agents+1 { // agents without an event of the job also reply
		logs = append(logs, Log{RequestedAt: baseTime, ProcessTime: baseTime.Add(time.Millisecond), RepliedAt: baseTime.Add(2 * time.Millisecond)})
	}
	return logs
}
