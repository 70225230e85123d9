// Package looper carries typed events to the one goroutine that owns a process's control state.
package looper
