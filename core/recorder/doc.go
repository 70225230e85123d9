// Package recorder stores the newest events of one process in a bounded buffer. Clients fetch the events of all processes
// on demand and merge them into one time line.
package recorder
