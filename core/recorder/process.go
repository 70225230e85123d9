package recorder

import "strings"

// ProcessName returns the member name of a process: the part before the incarnation.
func ProcessName(process string) string {
	name, _, _ := strings.Cut(process, "/")
	return name
}

// RefersTo reports whether peer, a value of Event.Other, refers to process. A peer without an incarnation refers to every
// incarnation of that process.
func RefersTo(peer, process string) bool {
	return peer == process || peer == ProcessName(process)
}
