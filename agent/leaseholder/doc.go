// Package leaseholder decides for an agent which runs its worker starts, keeps and stops. It is a state machine without
// I/O: a step takes the time and an event and returns actions.
//
// The agent extends the leases of its worker's runs only while it has a grant of the leading controller, and never beyond the
// end of that grant. A start whose answer is lost counts as a run until a poll of the worker, a stop or the end of the
// lease has shown that there is no such run.
//
// An announcement is used once the worker itself has answered that it is the announced incarnation: it may come from another
// writer, or have been delayed until a later incarnation runs.
package leaseholder
