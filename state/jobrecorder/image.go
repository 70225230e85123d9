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

// maxImage is the maximum size of an encoded state, in bytes.
const maxImage = 96 << 20

// ErrImage marks errors about an encoded state that is damaged.
var ErrImage = errors.New("jobrecorder: the encoded state of the queues is damaged")

// Image returns a copy of the state as a message. Commands applied later do not change the message.
func (r *Recorder) Image() *encoder.QueueImage {
	image := &encoder.QueueImage{Manifest: encoder.EncodeManifest(r.manifest), Roster: r.EnrolledAgents(), Now: r.now.UnixNano(), Announcing: r.announcing,
		Evacuated: r.EvacuatedZones(), EvacuationVersion: r.evacuationVersion}
	r.announcements.Each(func(a announcement) {
		if !r.announced[a.id].Equal(a.until) {
			return // announced again later
		}
		image.Announced = append(image.Announced, &encoder.QueueAnnounced{ID: a.id, Until: a.until.UnixNano()})
	})
	for _, id := range slices.Sorted(maps.Keys(r.jobs)) {
		record := r.jobs[id]
		encoded := &encoder.QueueRecord{Job: encoder.EncodeQueuedJob(&record.Job), State: uint32(record.State)}
		if record.State.Ended() {
			encoded.Ended = record.Ended.UnixNano()
		}
		for _, done := range record.Done {
			bits := make([]byte, len(done))
			for i, set := range done {
				if set {
					bits[i] = 1
				}
			}
			encoded.Done = append(encoded.Done, bits)
		}
		for _, task := range slices.SortedFunc(maps.Keys(record.failed), comparePositions) {
			for _, run := range record.failed[task] {
				encoded.Failures = append(encoded.Failures,
					&encoder.QueueEnd{Step: uint32(task.step), Index: uint32(task.index), Run: run, How: uint32(specifier.EndFailed)})
			}
		}
		image.Jobs = append(image.Jobs, encoded)
	}
	return image
}

// Write encodes an image to w. Equal states give equal bytes.
func Write(w io.Writer, image *encoder.QueueImage) error {
	_, err := protodelim.MarshalOptions{MarshalOptions: proto.MarshalOptions{Deterministic: true}}.MarshalTo(w, image)
	return errors.Wrap(err, "jobrecorder: write the state of the queues")
}

// Read decodes a state that Write encoded. An empty input gives the empty state.
func Read(r protodelim.Reader, retention time.Duration) (*Recorder, error) {
	recorder := New(retention)
	image := &encoder.QueueImage{}
	err := protodelim.UnmarshalOptions{MaxSize: maxImage}.UnmarshalFrom(r, image)
	if errors.Is(err, io.EOF) {
		return recorder, nil
	}
	if err != nil {
		return nil, errors.Mark(err, ErrImage)
	}
	recorder.now = time.Unix(0, image.Now)
	if manifest := encoder.DecodeManifest(image.Manifest); manifest != nil {
		recorder.manifest = manifest
	}
	for _, agent := range image.Roster {
		recorder.enrolledAgents[agent] = true
	}
	recorder.announcing, recorder.evacuationVersion = image.Announcing, image.EvacuationVersion
	for _, zone := range image.Evacuated {
		recorder.evacuatedZones[zone] = true
	}
	for _, each := range image.Announced {
		recorder.announce(announcement{id: each.ID, until: time.Unix(0, each.Until)})
	}
	for _, encoded := range image.Jobs {
		if err := recorder.loadJob(encoded); err != nil {
			return nil, err
		}
	}
	slices.SortStableFunc(recorder.endedJobs, func(a, b string) int { return recorder.jobs[a].Ended.Compare(recorder.jobs[b].Ended) })
	return recorder, nil
}

func (r *Recorder) loadJob(encoded *encoder.QueueRecord) error {
	state := specifier.QueueState(encoded.State)
	if state.Ended() {
		r.add(&Record{State: state, Ended: time.Unix(0, encoded.Ended),
			Job: specifier.QueuedJob{ID: encoded.GetJob().GetID(), Queue: encoded.GetJob().GetQueue(), Terms: encoder.DecodeTerms(encoded.GetJob())}})
		r.endedJobs = append(r.endedJobs, encoded.GetJob().GetID())
		return nil
	}
	job, err := encoder.DecodeQueuedJob(encoded.Job)
	if err != nil || job == nil {
		return errors.Mark(errors.Wrapf(err, "jobrecorder: job %q", encoded.GetJob().GetID()), ErrImage)
	}
	record := newRecord(*job)
	record.State = state
	for step := range record.Done {
		if step >= len(encoded.Done) || len(encoded.Done[step]) != len(record.Done[step]) {
			return errors.Mark(errors.Newf("jobrecorder: job %q: the done tasks of step %d are missing or have the wrong length", job.ID, step), ErrImage)
		}
		for i, bit := range encoded.Done[step] {
			if bit != 0 {
				record.Done[step][i] = true
				record.remaining--
			}
		}
	}
	for _, end := range encoded.Failures {
		if !record.hasTask(int(end.Step), int(end.Index)) {
			return errors.Mark(errors.Newf("jobrecorder: job %q: got a failed run of task %d of step %d, which the job does not have",
				job.ID, end.Index, end.Step), ErrImage)
		}
		task := position{int(end.Step), int(end.Index)}
		record.failed[task] = append(record.failed[task], end.Run)
	}
	r.add(record)
	return nil
}
