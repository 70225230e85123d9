// Package timekeeper reads a clock of the host that keeps running while the host is suspended. Programs use it for leases,
// which must expire during a suspension too.
package timekeeper
