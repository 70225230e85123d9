// Package sequencer decides what a controller proposes to the replicated log, whom it answers, and
// which entries and agents are alive. It is pure; driver joins it with the log.
package sequencer
