package replicator

// Action is an output of Node.Step: Persist, Append, Truncate, Restore, Compact, Send, SendSnapshot, SaveSnapshot, Apply,
// BecameLeader, BecameFollower, Proposed or Refused.
type Action interface{ action() }
