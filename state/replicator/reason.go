package replicator

// Reason is the reason why a request was refused. A refused request is never appended to the log.
type Reason string

// The reasons.
const (
	NotLeader     Reason = "NotLeader"     // ask the leader that Refused names, if any
	NotReady      Reason = "NotReady"      // the leader has not applied an entry of its term or has no lease
	Full          Reason = "Full"          // too many bytes are uncommitted, or the log waits for a snapshot; retry later
	TooLarge      Reason = "TooLarge"      // the data exceeds MaxEntry
	Transferring  Reason = "Transferring"  // another server is about to lead
	ChangePending Reason = "ChangePending" // the previous membership change is not committed
	KnownServer   Reason = "KnownServer"   // the server to add is already a member
	UnknownServer Reason = "UnknownServer" // the server to remove is no member, or the one to replace or transfer to is no voter
	NoMajority    Reason = "NoMajority"    // too few of the remaining voters are responsive to commit the removal
	LastVoter     Reason = "LastVoter"     // the only voter cannot be removed
)
