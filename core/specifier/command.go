package specifier

// Command is one change of the replicated state: AcceptJob, TakeOverJob, FinishJob, ReleaseJob,
// CancelJob, LookupJob, JoinMember, EndMember, DrainMember or ChangeConfiguration.
type Command interface{ command() }
