package recorder

import "strings"

// ProcessName returns the member name of a process: the part before the incarnation.
func ProcessName(process string) string {
	name, _, _ := strings.Cut(process, "/")
	return name
}

// RefersTo reports whether peer, from Event.Other, names process. A peer without an incarnation
// names every run of its process.
func RefersTo(peer, process string) bool {
	return peer == process || peer == ProcessName(process)
}
