// Package timekeeper reads a clock of the host that keeps running while the host is suspended.
package timekeeper
