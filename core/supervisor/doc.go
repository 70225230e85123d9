// Package supervisor runs the parts of a process, which are its long-running functions, and stops
// them in order. It also serves the health checks of the process and sets up its log.
package supervisor
