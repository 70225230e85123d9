// Package transcriber runs a script against a small simulated site: the state machines of entries, agents and
// the replicated state, on a simulated clock, connected by messages that take a fixed time. It has no consensus,
// no partitions and no random faults. What callers and operators see, and the time line of the processes' events,
// form a transcript that is the same on every run.
package transcriber
