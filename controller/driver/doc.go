// Package driver joins the replicated log with the sequencer into the one machine that a controller's
// control goroutine runs. Disk and network are left to the adapters of package server.
package driver
