package dispatcher

import (
	"oleandertally/core/specifier"
	"oleandertally/state/jobrecorder"
)

// recordsFull reports whether the record of a job would exceed MaxRecorded, together with those that the log has not taken yet. Records of
// ended jobs make room when they expire.
func (d *Dispatcher) recordsFull(j *job) bool {
	return !j.Transient && d.Recorder.RecordedBytes()+d.unrecordedBytes+jobrecorder.RecordSize(j.QueuedJob) > d.Settings.MaxRecorded
}

// proposeRecord proposes to record a job.
func (d *Dispatcher) proposeRecord(job specifier.QueuedJob) {
	d.unrecordedBytes += jobrecorder.RecordSize(job)
	d.propose(specifier.QueueCommand{Accept: &job})
}

// recordDecided notes that the log has taken or rejected the record of a job.
func (d *Dispatcher) recordDecided(job specifier.QueuedJob) {
	d.unrecordedBytes -= jobrecorder.RecordSize(job)
}
