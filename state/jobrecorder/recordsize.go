package jobrecorder

import "oleandertally/core/specifier"

// Upper bounds of what a part of a record takes in a snapshot beside its texts, in bytes.
const (
	recordOverhead  = 128
	stepOverhead    = 64
	taskOverhead    = 2
	failureOverhead = 24
)

// RecordSize returns about how many bytes the record of a job that has not ended takes in a snapshot, before any of its runs has failed.
func RecordSize(job specifier.QueuedJob) int {
	total := endedSize(job) + len(job.Content)
	for _, step := range job.Steps {
		total += stepOverhead + len(step.Label) + len(step.DataRack) + 5*len(step.After) + taskOverhead*step.Count
	}
	return total
}

// endedSize returns about how many bytes the record of a job that has ended takes.
func endedSize(job specifier.QueuedJob) int {
	terms := job.Terms
	return recordOverhead + len(job.ID) + len(job.Queue) + len(terms.Name) + len(terms.Host) + len(terms.Prefix) + len(terms.Pool)
}

// RecordedBytes returns about how many bytes the records of all jobs take in a snapshot.
func (r *Recorder) RecordedBytes() int { return r.recordedBytes }

// add stores a record.
func (r *Recorder) add(record *Record) {
	record.size = RecordSize(record.Job)
	if record.State.Ended() {
		record.size = endedSize(record.Job)
	}
	for _, runs := range record.failed {
		record.size += failureOverhead * len(runs)
	}
	r.jobs[record.Job.ID] = record
	r.recordedBytes += record.size
}

// resize notes the size of a stored record after a change.
func (r *Recorder) resize(record *Record, size int) {
	r.recordedBytes += size - record.size
	record.size = size
}

// remove deletes a record.
func (r *Recorder) remove(id string) {
	r.recordedBytes -= r.jobs[id].size
	delete(r.jobs, id)
}
