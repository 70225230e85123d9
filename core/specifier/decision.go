package specifier

import "net/netip"

// Decision is the controllers' answer to a command. Only the fields that its verdict
// mentions are set.
type Decision struct {
	Verdict   Verdict
	Owner     Identity // Attached
	OwnerAddr netip.AddrPort
	OwnerDown bool       // Attached: the owner is recorded as Down, so the job may be taken over
	Epoch     Epoch      // Accepted, Attached, Finished
	Revision  Revision   // of the configuration in force
	Answer    Answer     // Finished, without results
	Departed  []Identity // Accepted after TakeOverJob: agents that went Down since the job was accepted
	// MemberVersion counts the changes of the membership. Whoever takes a job over must know
	// the members of this version, or an agent that runs a task could be missed.
	MemberVersion uint64
	Operator      string // Conflict: who made the change that won
	Detail        string
	Leader        netip.AddrPort // NotLeader: zero when there is none
}
