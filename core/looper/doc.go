// Package looper runs the state machine of a process on one control goroutine. Traffic goroutines send events to it through a
// Mailbox and take work from it through an Outbox.
package looper
