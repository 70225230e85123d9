package dispatcher

// Event is BecameLeader, BecameFollower, Applied, Rejected, CallReceived, CallerDisconnected, ReportReceived or AgentDisconnected.
type Event any
