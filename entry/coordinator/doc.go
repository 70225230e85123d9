// Package coordinator decides how an entry handles a job: from the caller's request, through the controllers'
// replicated record and the agents, to the answer. It is a state machine without I/O: the answerer and connector
// packages deliver its events and perform its actions.
package coordinator
