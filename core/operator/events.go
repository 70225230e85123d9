package operator

import (
	"time"

	"oleandertally/core/encoder"
	"oleandertally/core/recorder"
	"oleandertally/core/specifier"
)

const (
	// maxEvents limits the events of one process in a reply.
	maxEvents = 1 << 18
	// maxTextBytes limits the length of each text of an event.
	maxTextBytes = 4 << 10
)

// EncodeEvent encodes every field of e.
func EncodeEvent(e recorder.Event) *encoder.Event {
	m := &encoder.Event{At: e.At.UnixNano(), Process: e.Process, Sequence: e.Sequence, Kind: string(e.Kind),
		Task: e.Task, Epoch: uint64(e.Epoch), Other: e.Other, Detail: e.Detail}
	if e.Job != (specifier.JobID{}) {
		m.Job = e.Job[:]
	}
	return m
}

// DecodeEvent decodes and checks m. Its error lists the problems of all fields.
func DecodeEvent(m *encoder.Event) (recorder.Event, error) {
	found := &specifier.Problems{}
	event := recorder.Event{At: time.Unix(0, m.GetAt()), Process: m.GetProcess(), Sequence: m.GetSequence(),
		Kind: recorder.Kind(m.GetKind()), Task: m.GetTask(), Epoch: specifier.Epoch(m.GetEpoch()),
		Other: m.GetOther(), Detail: m.GetDetail()}
	checkLength := func(field, text string) {
		if len(text) > maxTextBytes {
			found.Add(field, "has %d bytes, expected at most %d", len(text), maxTextBytes)
		}
	}
	checkLength("Process", event.Process)
	checkLength("Kind", string(event.Kind))
	checkLength("Task", event.Task)
	checkLength("Other", event.Other)
	checkLength("Detail", event.Detail)
	if event.Process == "" || event.Kind == "" {
		found.Add("Event", "has no Process or Kind")
	}
	event.Job = decodeJob(found, m.GetJob())
	if problems := found.OrNil(); problems != nil {
		return recorder.Event{}, problems
	}
	return event, nil
}

// decodeJob decodes a job id. An empty raw stands for the zero id.
func decodeJob(found *specifier.Problems, raw []byte) specifier.JobID {
	var job specifier.JobID
	if len(raw) != 0 && len(raw) != len(job) {
		found.Add("Job", "has %d bytes, expected %d", len(raw), len(job))
		return job
	}
	copy(job[:], raw)
	return job
}
