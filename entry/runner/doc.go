// Package runner runs an entry: the control loop around coordinator, HTTP for callers, gRPC for other
// entries, and the streams to controllers and agents.
package runner
