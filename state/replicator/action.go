package replicator

// Action is an output of Node.Step: Persist, Append, Truncate, Restore, Compact, Send, SendSnapshot, SaveSnapshot, Apply,
// MembershipChanged, BecameLeader, BecameFollower, Proposed or Refused.
type Action interface{ action() }
