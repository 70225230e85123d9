package jobrecorder

import (
	"io"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"oleandertally/core/encoder"
	"oleandertally/core/specifier"
)

// maxImage bounds an encoded state, in bytes.
const maxImage = 96 << 20

// ErrImage marks an encoded state that can't be used.
var ErrImage = errors.New("jobrecorder: the encoded state of the queues is damaged")

// Image returns the state as a message that does not change while later commands are applied.
func (r *Recorder) Image() *encoder.QueueImage {
	m := &encoder.QueueImage{Manifest: encoder.EncodeManifest(r.manifest), Roster: r.EnrolledAgents(), Now: r.now.UnixNano()}
	for _, id := range slices.Sorted(maps.Keys(r.jobs)) {
		record := r.jobs[id]
		each := &encoder.QueueRecord{Job: encoder.EncodeQueuedJob(&record.Job), State: uint32(record.State)}
		if record.State.Ended() {
			each.Ended = record.Ended.UnixNano()
		}
		for _, done := range record.Done {
			bits := make([]byte, len(done))
			for i, set := range done {
				if set {
					bits[i] = 1
				}
			}
			each.Done = append(each.Done, bits)
		}
		for _, at := range slices.SortedFunc(maps.Keys(record.failed), comparePlaces) {
			for _, run := range record.failed[at] {
				each.Failures = append(each.Failures, &encoder.QueueEnd{Step: uint32(at.step), Index: uint32(at.index), Run: run, How: uint32(specifier.EndFailed)})
			}
		}
		m.Jobs = append(m.Jobs, each)
	}
	return m
}

// Write writes an image. Equal states give equal bytes.
func Write(w io.Writer, image *encoder.QueueImage) error {
	_, err := protodelim.MarshalOptions{MarshalOptions: proto.MarshalOptions{Deterministic: true}}.MarshalTo(w, image)
	return errors.Wrap(err, "jobrecorder: write the state of the queues")
}

// Read reads what Write wrote. A reader at its end gives the empty state.
func Read(r protodelim.Reader, retention time.Duration) (*Recorder, error) {
	k := New(retention)
	m := &encoder.QueueImage{}
	err := protodelim.UnmarshalOptions{MaxSize: maxImage}.UnmarshalFrom(r, m)
	if errors.Is(err, io.EOF) {
		return k, nil
	}
	if err != nil {
		return nil, errors.Mark(err, ErrImage)
	}
	k.now = time.Unix(0, m.Now)
	if manifest := encoder.DecodeManifest(m.Manifest); manifest != nil {
		k.manifest = manifest
	}
	for _, agent := range m.Roster {
		k.roster[agent] = true
	}
	for _, each := range m.Jobs {
		if err := k.load(each); err != nil {
			return nil, err
		}
	}
	slices.SortStableFunc(k.ended, func(a, b string) int { return k.jobs[a].Ended.Compare(k.jobs[b].Ended) })
	return k, nil
}

func (r *Recorder) load(m *encoder.QueueRecord) error {
	state := specifier.QueueState(m.State)
	if state.Ended() {
		r.jobs[m.GetJob().GetID()] = &Record{State: state, Ended: time.Unix(0, m.Ended),
			Job: specifier.QueuedJob{ID: m.GetJob().GetID(), Queue: m.GetJob().GetQueue()}}
		r.ended = append(r.ended, m.GetJob().GetID())
		return nil
	}
	job, err := encoder.DecodeQueuedJob(m.Job)
	if err != nil || job == nil {
		return errors.Mark(errors.Wrapf(err, "jobrecorder: job %q", m.GetJob().GetID()), ErrImage)
	}
	record := newRecord(*job)
	record.State = state
	for step := range record.Done {
		if step >= len(m.Done) || len(m.Done[step]) != len(record.Done[step]) {
			return errors.Mark(errors.Newf("jobrecorder: job %q: step %d does not fit its tasks", job.ID, step), ErrImage)
		}
		for i, bit := range m.Done[step] {
			if bit != 0 {
				record.Done[step][i] = true
				record.left--
			}
		}
	}
	for _, end := range m.Failures {
		if !record.holds(int(end.Step), int(end.Index)) {
			return errors.Mark(errors.Newf("jobrecorder: job %q: task %d of step %d failed, which the job does not have", job.ID, end.Index, end.Step), ErrImage)
		}
		at := place{int(end.Step), int(end.Index)}
		record.failed[at] = append(record.failed[at], end.Run)
	}
	r.jobs[job.ID] = record
	return nil
}
