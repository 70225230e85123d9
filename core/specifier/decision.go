package specifier

import "net/netip"

// Decision is the controllers' answer to a command. Each comment names the verdicts with which
// the field is set.
type Decision struct {
	Verdict   Verdict
	Owner     Identity // Attached
	OwnerAddr netip.AddrPort
	OwnerDown bool       // Attached: the owner is recorded as Down, so the job may be taken over
	Epoch     Epoch      // Accepted, Attached, Finished
	Revision  Revision   // revision of the configuration in force
	Answer    Answer     // Finished, without results
	Departed  []Identity // Accepted after TakeOverJob: agents that went Down since the job was accepted
	// MemberVersion counts the changes of the membership. An entry that takes a job over must know
	// the members of this version: otherwise it could miss an agent that runs a task of the job.
	MemberVersion uint64
	Operator      string // Conflict: the operator who made the change that was accepted instead
	Detail        string
	Leader        netip.AddrPort // NotLeader: zero when there is no leader
}
