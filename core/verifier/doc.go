// Package verifier checks recorded events against the guarantees of the dispatcher. It needs all
// events of all processes: a dropped event can cause a false violation.
package verifier
