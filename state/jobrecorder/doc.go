// Package jobrecorder is the replicated state of the queues: the manifest in force, the recorded jobs and the agents that
// may run tasks. Apply is deterministic: the same commands in the same order give the same state everywhere.
package jobrecorder
