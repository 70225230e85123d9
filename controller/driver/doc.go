// Package driver connects the replicated log, the sequencer and the dispatcher to the one state machine that a controller's
// control goroutine runs. The adapters of package server handle disk and network.
package driver
