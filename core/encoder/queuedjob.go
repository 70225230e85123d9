package encoder

import (
	"time"

	"oleandertally/core/specifier"
)

// EncodeQueuedJob returns nil for nil.
func EncodeQueuedJob(job *specifier.QueuedJob) *QueuedJob {
	if job == nil {
		return nil
	}
	m := &QueuedJob{ID: job.ID, Queue: job.Queue, Content: job.Content, Transient: job.Transient}
	if job.Terms.Name != "" {
		m.Terms = encodeQueue(job.Terms)
	}
	for _, step := range job.Steps {
		each := &QueueStep{Count: uint32(step.Count), Room: EncodeResources(step.Resources), Estimate: int64(step.Estimate), Checkpoints: step.Checkpoints,
			Label: step.Label, DataRack: step.DataRack, PerWorker: uint32(step.PerWorker), Speculative: step.Speculative}
		for _, before := range step.After {
			each.After = append(each.After, uint32(before))
		}
		m.Steps = append(m.Steps, each)
	}
	return m
}

// DecodeQueuedJob returns nil for nil, and the problems of an invalid job.
func DecodeQueuedJob(m *QueuedJob) (*specifier.QueuedJob, error) {
	if m == nil {
		return nil, nil
	}
	job := &specifier.QueuedJob{ID: m.ID, Queue: m.Queue, Content: m.Content, Transient: m.Transient, Terms: decodeQueue(m.Terms)}
	for _, each := range m.Steps {
		step := specifier.Step{Count: int(each.Count), Resources: DecodeResources(each.Room), Estimate: time.Duration(each.Estimate),
			Checkpoints: each.Checkpoints, Label: each.Label, DataRack: each.DataRack, PerWorker: int(each.PerWorker), Speculative: each.Speculative}
		for _, before := range each.After {
			step.After = append(step.After, int(before))
		}
		job.Steps = append(job.Steps, step)
	}
	if problems := job.Check(); problems != nil {
		return nil, problems
	}
	return job, nil
}

// DecodeTerms returns the queue as it was when the job was recorded, or the zero Queue. The job may be one that has ended, which has no steps.
func DecodeTerms(m *QueuedJob) specifier.Queue { return decodeQueue(m.GetTerms()) }
