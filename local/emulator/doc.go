// Package emulator is a stand-in for an upstream: it announces itself to its agent, runs tasks that
// only wait, and keeps a log of starts.
package emulator
