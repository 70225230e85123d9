// Package runner runs an entry process: the control loop around the coordinator, an HTTP server for callers, a gRPC
// server for other entries and operators, and the streams to controllers and agents.
package runner
