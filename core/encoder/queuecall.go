package encoder

import (
	"time"

	"oleandertally/core/specifier"
)

// EncodeQueueCall returns the message of one call.
func EncodeQueueCall(sequence uint64, call specifier.QueueCall) *QueueCall {
	m := &QueueCall{Sequence: sequence, Verb: uint32(call.Verb), Host: call.Host, Path: call.Path, TimeLeft: int64(call.TimeLeft), Age: int64(call.Age),
		Manifest: EncodeManifest(call.Manifest), Resubmitted: call.Resubmitted, Zone: call.Zone}
	if call.Verb == specifier.SubmitQueued {
		m.Job = EncodeQueuedJob(&call.Job)
	}
	return m
}

// DecodeQueueCall returns an error if the job of a submission is invalid.
func DecodeQueueCall(m *QueueCall) (specifier.QueueCall, error) {
	call := specifier.QueueCall{Verb: specifier.QueueVerb(m.Verb), Host: m.Host, Path: m.Path, TimeLeft: time.Duration(m.TimeLeft),
		Age:      min(max(time.Duration(m.Age), 0), specifier.MaxTimeLeft),
		Manifest: DecodeManifest(m.Manifest), Resubmitted: m.Resubmitted, Zone: m.Zone}
	job, err := DecodeQueuedJob(m.Job)
	if job != nil {
		call.Job = *job
	}
	return call, err
}
