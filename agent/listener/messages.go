package listener

import (
	"time"

	"github.com/cockroachdb/errors"

	"oleandertally/agent/executor"
	"oleandertally/core/encoder"
	"oleandertally/core/specifier"
)

// decode validates a message and converts it into events, in the order assignments, withdrawals, fences, release. Ages and
// remaining times are converted to times on this host's clock.
func decode(m *encoder.EntryMessage, entry specifier.Identity, stream uint64, now time.Time) ([]executor.Event, error) {
	var events []executor.Event
	for _, assign := range m.Assigns {
		event, err := decodeAssign(assign, now)
		if err != nil {
			return nil, err
		}
		event.Entry, event.Stream = entry, stream
		events = append(events, event)
	}
	for _, withdraw := range m.Withdraws {
		job, err := jobID(withdraw.Job)
		if err != nil {
			return nil, err
		}
		events = append(events, executor.Withdrawn{Entry: entry, Stream: stream, Job: job, Epoch: specifier.Epoch(withdraw.Epoch)})
	}
	for _, fence := range m.Fences {
		job, err := jobID(fence.Job)
		if err != nil {
			return nil, err
		}
		left := min(max(time.Duration(fence.TimeLeft), 0), specifier.MaxTimeLeft)
		events = append(events, executor.Fenced{Entry: entry, Stream: stream, Job: job, Epoch: specifier.Epoch(fence.Epoch), Deadline: now.Add(left), Mark: fence.Mark})
	}
	if m.Released {
		events = append(events, executor.Released{Entry: entry, Stream: stream})
	}
	return events, nil
}

func decodeAssign(m *encoder.Assign, now time.Time) (executor.Assigned, error) {
	job, err := jobID(m.Job)
	switch {
	case err != nil:
		return executor.Assigned{}, err
	case m.Task == "" || len(m.Task) > specifier.MaxName:
		return executor.Assigned{}, errors.Newf("listener: Assign.Task has %d bytes, expected 1 to %d", len(m.Task), specifier.MaxName)
	case len(m.Payload) > specifier.MaxPayload:
		return executor.Assigned{}, errors.Newf("listener: Assign.Payload has %d bytes, expected at most %d", len(m.Payload), specifier.MaxPayload)
	case m.Epoch == 0:
		return executor.Assigned{}, errors.New("listener: Assign.Epoch is 0, expected at least 1")
	}
	left := min(time.Duration(m.TimeLeft), specifier.MaxTimeLeft)
	age := min(max(time.Duration(m.Age), -specifier.MaxTimeLeft), specifier.MaxTimeLeft)
	return executor.Assigned{Key: specifier.TaskKey{Job: job, Task: m.Task}, Epoch: specifier.Epoch(m.Epoch), Payload: m.Payload,
		Order: now.Add(-age), Deadline: now.Add(left), Profile: m.Profile}, nil
}

func jobID(raw []byte) (specifier.JobID, error) {
	var id specifier.JobID
	if len(raw) != len(id) {
		return id, errors.Newf("listener: Job has %d bytes, expected %d", len(raw), len(id))
	}
	copy(id[:], raw)
	return id, nil
}

// EncodeDone converts the result of a task into a message.
func EncodeDone(d executor.Done) *encoder.AgentMessage {
	done := &encoder.Done{Job: d.Key.Job[:], Epoch: uint64(d.Epoch), Task: d.Key.Task, Body: d.Body, Failed: d.Broken, Detail: d.Detail,
		RunTime: int64(d.RunTime), Waited: int64(d.Waited)}
	return &encoder.AgentMessage{Dones: []*encoder.Done{done}, Load: EncodeLoad(d.Load)}
}

// EncodeRefused converts a refusal into a message.
func EncodeRefused(r executor.Refused) *encoder.AgentMessage {
	refused := &encoder.Refused{Job: r.Key.Job[:], Epoch: uint64(r.Epoch), Task: r.Key.Task, Cause: string(r.Cause)}
	return &encoder.AgentMessage{Refusals: []*encoder.Refused{refused}, Load: EncodeLoad(r.Load)}
}

// EncodeReport converts the report on a job into a message.
func EncodeReport(r executor.Report) *encoder.AgentMessage {
	report := &encoder.Report{Job: r.Job[:], Epoch: uint64(r.Epoch), Mark: r.Mark}
	for _, task := range r.Tasks {
		report.Tasks = append(report.Tasks, &encoder.TaskReport{Task: task.Task, State: string(task.State), Body: task.Body, Detail: task.Detail})
	}
	return &encoder.AgentMessage{Reports: []*encoder.Report{report}, Load: EncodeLoad(r.Load)}
}

// EncodeRequestRelease converts the request for a release into a message.
func EncodeRequestRelease(r executor.RequestRelease) *encoder.AgentMessage {
	return &encoder.AgentMessage{Leaving: true, Load: EncodeLoad(r.Load)}
}

// EncodeLoad converts the agent's load into its wire form.
func EncodeLoad(load specifier.Load) *encoder.Load {
	return &encoder.Load{Slots: int32(load.Slots), Running: int32(load.Running), Queued: int32(load.Queued)}
}
