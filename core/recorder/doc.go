// Package recorder keeps the events of one process in a small bounded buffer, from which the
// time line over all processes is gathered on demand.
package recorder
