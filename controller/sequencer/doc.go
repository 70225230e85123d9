// Package sequencer batches the commands that a controller proposes to the replicated log, answers them once they are committed, and
// tracks by leases which entries and agents are up. It is pure: a step takes the time and an event and returns actions. Package driver
// connects it to the log.
package sequencer
