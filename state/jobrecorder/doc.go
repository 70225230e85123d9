// Package jobrecorder implements the replicated state of the queues: the current manifest, the recorded jobs, the
// enrolled agents, which may run tasks, and the evacuated availability zones. Apply is deterministic: the same commands in the same order give the same state on
// every controller.
package jobrecorder
