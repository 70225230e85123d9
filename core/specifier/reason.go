package specifier

// Reason explains why a job was not run or failed.
type Reason string

// The reasons of refusals and failures.
const (
	Invalid        Reason = "Invalid"        // the submission breaks a stated rule
	Unauthorized   Reason = "Unauthorized"   // the token does not belong to the team
	UnknownProfile Reason = "UnknownProfile" // no such profile in the configuration in force
	UnknownTeam    Reason = "UnknownTeam"    // no such team in the configuration in force
	KeyReused      Reason = "KeyReused"      // the key was used with another body
	KeyExpired     Reason = "KeyExpired"     // the key's answer is no longer stored
	DeadlinePast   Reason = "DeadlinePast"   // the deadline passed before a task started
	NoWorker       Reason = "NoWorker"       // no worker serves this profile
	Overloaded     Reason = "Overloaded"     // the job could not finish before the deadline
	QuotaExceeded  Reason = "QuotaExceeded"  // the team's share is used up
	Unavailable    Reason = "Unavailable"    // the controllers cannot accept jobs now
	Stopping       Reason = "Stopping"       // this process is shutting down
	Cancelled      Reason = "Cancelled"      // the caller cancelled the job
	TimedOut       Reason = "TimedOut"       // the deadline passed after a task started
	StillRunning   Reason = "StillRunning"   // the job continues after this caller's deadline
	TaskFailed     Reason = "TaskFailed"     // the upstream reported a failure
	WorkerLost     Reason = "WorkerLost"     // a worker was lost with a task whose state is unknown
	OwnerLost      Reason = "OwnerLost"      // the entry that ran the job was lost and the state of a task is unknown; the job may have completed
	ResultsLost    Reason = "ResultsLost"    // the job completed, but its results are no longer stored
	Superseded     Reason = "Superseded"     // another entry took the job over
)
