package connector

import (
	"time"

	"github.com/cockroachdb/errors"

	"oleandertally/core/encoder"
	"oleandertally/core/specifier"
	"oleandertally/entry/coordinator"
)

// maxMergedBytes is the maximum total size of payloads that are merged into one message.
const maxMergedBytes = 1 << 20

// EncodeAssign converts an assignment into a message, with Order as an age and the deadline as the time left at now.
func EncodeAssign(a coordinator.Assign, now time.Time) *encoder.EntryMessage {
	return &encoder.EntryMessage{Assigns: []*encoder.Assign{{Job: a.Key.Job[:], Epoch: uint64(a.Epoch), Task: a.Key.Task,
		Payload: a.Payload, Age: int64(now.Sub(a.Order)), TimeLeft: int64(a.Deadline.Sub(now)), Profile: a.Profile}}}
}

// EncodeWithdraw converts a withdrawal into a message.
func EncodeWithdraw(w coordinator.Withdraw) *encoder.EntryMessage {
	return &encoder.EntryMessage{Withdraws: []*encoder.Withdraw{{Job: w.Job[:], Epoch: uint64(w.Epoch)}}}
}

// EncodeFence converts a fence into a message, with the deadline as the time left at now.
func EncodeFence(f coordinator.Fence, now time.Time) *encoder.EntryMessage {
	return &encoder.EntryMessage{Fences: []*encoder.Fence{{Job: f.Job[:], Epoch: uint64(f.Epoch), TimeLeft: int64(f.Deadline.Sub(now)), Mark: f.Mark}}}
}

// EncodeRelease returns the message by which this entry releases an agent.
func EncodeRelease() *encoder.EntryMessage { return &encoder.EntryMessage{Released: true} }

// merge joins leading messages while their order is preserved and their payloads fit in maxMergedBytes: an agent handles
// the assignments of a message first, then its withdrawals, then its fences. It returns the merged message and the remaining messages.
func merge(messages []*encoder.EntryMessage) (*encoder.EntryMessage, []*encoder.EntryMessage) {
	merged := messages[0]
	size := payloadBytes(merged)
	for i, next := range messages[1:] {
		size += payloadBytes(next)
		if size > maxMergedBytes || merged.Released || (len(next.Assigns) > 0 && len(merged.Withdraws)+len(merged.Fences) > 0) ||
			(len(next.Withdraws) > 0 && len(merged.Fences) > 0) {
			return merged, messages[i+1:]
		}
		merged.Assigns = append(merged.Assigns, next.Assigns...)
		merged.Withdraws = append(merged.Withdraws, next.Withdraws...)
		merged.Fences = append(merged.Fences, next.Fences...)
		merged.Released = next.Released
	}
	return merged, nil
}

func payloadBytes(message *encoder.EntryMessage) int {
	size := 0
	for _, assign := range message.Assigns {
		size += len(assign.Payload)
	}
	return size
}

// decodeAgentMessage validates a message and converts it to events.
func decodeAgentMessage(agent specifier.Identity, m *encoder.AgentMessage) ([]coordinator.Event, error) {
	var events []coordinator.Event
	for _, done := range m.Dones {
		key, err := taskKey(done.Job, done.Task)
		if err != nil {
			return nil, err
		}
		if len(done.Body) > specifier.MaxResult {
			return nil, errors.Newf("connector: Done.Body has %d bytes, expected at most %d", len(done.Body), specifier.MaxResult)
		}
		events = append(events, coordinator.TaskDone{Agent: agent, Key: key, Epoch: specifier.Epoch(done.Epoch), Broken: done.Failed,
			Body: done.Body, Detail: done.Detail, RunTime: time.Duration(done.RunTime)})
	}
	for _, refused := range m.Refusals {
		key, err := taskKey(refused.Job, refused.Task)
		if err != nil {
			return nil, err
		}
		events = append(events, coordinator.TaskRefused{Agent: agent, Key: key, Epoch: specifier.Epoch(refused.Epoch), Cause: refused.Cause})
	}
	for _, report := range m.Reports {
		event, err := decodeReport(agent, report)
		if err != nil {
			return nil, err
		}
		events = append(events, event)
	}
	if m.Load != nil {
		load := specifier.Load{Slots: int(m.Load.Slots), Running: int(m.Load.Running), Queued: int(m.Load.Queued)}
		events = append(events, coordinator.LoadReceived{Agent: agent, Load: load})
	}
	if m.Leaving {
		events = append(events, coordinator.AgentLeaving{Agent: agent})
	}
	return events, nil
}

func decodeReport(agent specifier.Identity, m *encoder.Report) (coordinator.Event, error) {
	key, err := taskKey(m.Job, "any")
	if err != nil {
		return nil, err
	}
	if len(m.Tasks) > specifier.MaxTasks {
		return nil, errors.Newf("connector: Report.Tasks has %d items, expected at most %d", len(m.Tasks), specifier.MaxTasks)
	}
	report := coordinator.ReportReceived{Agent: agent, Job: key.Job, Epoch: specifier.Epoch(m.Epoch), Mark: m.Mark}
	for _, task := range m.Tasks {
		report.Tasks = append(report.Tasks, specifier.TaskReport{Task: task.Task, State: specifier.TaskState(task.State), Body: task.Body, Detail: task.Detail})
	}
	return report, nil
}

func taskKey(job []byte, task string) (specifier.TaskKey, error) {
	var key specifier.TaskKey
	if len(job) != len(key.Job) {
		return key, errors.Newf("connector: Job has %d bytes, expected %d", len(job), len(key.Job))
	}
	if task == "" || len(task) > specifier.MaxName {
		return key, errors.Newf("connector: Task has %d bytes, expected 1 to %d", len(task), specifier.MaxName)
	}
	copy(key.Job[:], job)
	key.Task = task
	return key, nil
}
