package operator

import (
	"time"

	"oleandertally/core/encoder"
	"oleandertally/core/recorder"
	"oleandertally/core/specifier"
)

const (
	// maxEvents bounds the events of one process in a reply.
	maxEvents = 1 << 18
	// maxDetail bounds the texts of one event, in bytes.
	maxDetail = 4 << 10
)

// EncodeEvent copies every field.
func EncodeEvent(e recorder.Event) *encoder.Event {
	m := &encoder.Event{At: e.At.UnixNano(), Process: e.Process, Sequence: e.Sequence, Kind: string(e.Kind),
		Task: e.Task, Epoch: uint64(e.Epoch), Other: e.Other, Detail: e.Detail}
	if e.Job != (specifier.JobID{}) {
		m.Job = e.Job[:]
	}
	return m
}

// DecodeEvent returns every problem of the event's fields together.
func DecodeEvent(m *encoder.Event) (recorder.Event, error) {
	found := &specifier.Problems{}
	event := recorder.Event{At: time.Unix(0, m.GetAt()), Process: m.GetProcess(), Sequence: m.GetSequence(),
		Kind: recorder.Kind(m.GetKind()), Task: m.GetTask(), Epoch: specifier.Epoch(m.GetEpoch()),
		Other: m.GetOther(), Detail: m.GetDetail()}
	short := func(field, text string) {
		if len(text) > maxDetail {
			found.Add(field, "has %d bytes, expected at most %d", len(text), maxDetail)
		}
	}
	short("Process", event.Process)
	short("Kind", string(event.Kind))
	short("Task", event.Task)
	short("Other", event.Other)
	short("Detail", event.Detail)
	if event.Process == "" || event.Kind == "" {
		found.Add("Event", "has no Process or Kind")
	}
	event.Job = decodeJob(found, m.GetJob())
	if problems := found.OrNil(); problems != nil {
		return recorder.Event{}, problems
	}
	return event, nil
}

// decodeJob accepts no bytes as the zero id.
func decodeJob(found *specifier.Problems, raw []byte) specifier.JobID {
	var job specifier.JobID
	if len(raw) != 0 && len(raw) != len(job) {
		found.Add("Job", "has %d bytes, expected %d", len(raw), len(job))
		return job
	}
	copy(job[:], raw)
	return job
}
