package requester

// callAbandoned reports that the caller of a call no longer waits.
type callAbandoned struct{ replyTo chan<- answer }
