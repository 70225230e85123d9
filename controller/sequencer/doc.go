// Package sequencer decides what a controller proposes to the replicated log, whom it answers, and
// which entries and agents are alive. It is pure: a step takes the time and an event and returns actions. Package driver connects
// it to the log.
package sequencer
