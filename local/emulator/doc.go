// Package emulator emulates an upstream: it announces itself to its agent, runs tasks that only wait, and logs each start
// of a task.
package emulator
