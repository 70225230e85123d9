// Package supervisor runs the parts of a process and stops them in order, reports whether the
// process is ready, and sets up its log.
package supervisor
