// Package runner runs an agent: the control loop around executor, the stream from each entry, the
// session with the controllers, and the calls to the upstream.
package runner
