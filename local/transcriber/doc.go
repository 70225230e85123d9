// Package transcriber drives the pure machines of a small site through a script on a held clock: entries,
// agents and the replicated state, joined by messages that take a fixed time. It has no consensus, no
// partitions and no random faults. What callers and operators see, and the time line, form a transcript
// that is the same on every run.
package transcriber
