// Package verifier checks the promises of the dispatcher over recorded events. It needs all
// events of all processes: a dropped event can show as a violation that did not happen.
package verifier
