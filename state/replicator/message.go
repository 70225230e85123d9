package replicator

// Message is the content of an Envelope: RequestVote, VoteReply, AppendEntries, AppendReply, InstallSnapshot or
// TimeoutNow.
type Message interface{ message() }
