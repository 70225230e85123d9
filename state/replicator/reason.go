package replicator

// Reason says why a request was refused; a refused request is not in the log and never will be.
type Reason string

// The reasons.
const (
	NotLeader     Reason = "NotLeader"     // ask the leader that Refused names, if any
	NotReady      Reason = "NotReady"      // the leader has not yet committed an entry of its term
	Full          Reason = "Full"          // too many bytes wait; retry later
	TooLarge      Reason = "TooLarge"      // the data exceeds MaxEntry
	Transferring  Reason = "Transferring"  // another server is about to lead
	ChangePending Reason = "ChangePending" // the previous membership change is not finished
	KnownServer   Reason = "KnownServer"   // the server to add is a member
	UnknownServer Reason = "UnknownServer" // no such member to remove, or no such voter to replace or to hand over to
	NoMajority    Reason = "NoMajority"    // too few of the remaining voters answer to commit the removal
	LastVoter     Reason = "LastVoter"     // the only voter cannot be removed
)
