package specifier

// Verdict is the kind of a decision.
type Verdict string

// The verdicts.
const (
	Accepted  Verdict = "Accepted"  // the proposer owns the job under Decision.Epoch
	Attached  Verdict = "Attached"  // another entry owns the job
	Finished  Verdict = "Finished"  // the outcome is in Decision.Answer
	Conflict  Verdict = "Conflict"  // the key was used with another digest, or another change was accepted first
	Stale     Verdict = "Stale"     // the proposer's configuration is older than Decision.Revision
	Fenced    Verdict = "Fenced"    // the proposer no longer owns the job
	Applied   Verdict = "Applied"   // the change is recorded
	Rejected  Verdict = "Rejected"  // the change breaks a rule; Decision.Detail names it
	Full      Verdict = "Full"      // no more submissions or members can be recorded now
	NotLeader Verdict = "NotLeader" // ask Decision.Leader
)
