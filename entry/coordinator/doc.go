// Package coordinator decides the life of a job at an entry: from the caller's request, through
// the replicated record and the agents, to the answer. It is pure; responder and connector carry
// its events and actions.
package coordinator
