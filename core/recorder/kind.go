package recorder

// Kind is what happened.
type Kind string

// The kinds of events. Other names the peer: the worker of a task, the owner of a job.
const (
	JobSubmitted Kind = "JobSubmitted" // a caller's request arrived at an entry
	JobAttached  Kind = "JobAttached"  // a repeat of a key waits for the same run, at the owner Other or, without one, here
	JobProposed  Kind = "JobProposed"  // the entry asked the controllers for the job
	JobAccepted  Kind = "JobAccepted"  // the record is replicated and this entry owns the job
	JobTaken     Kind = "JobTaken"     // this entry took the job over from a dead owner
	JobAnswered  Kind = "JobAnswered"  // an answer went to a caller; Detail has outcome and reason
	TaskAssigned Kind = "TaskAssigned" // the entry sent the task to an agent
	TaskReturned Kind = "TaskReturned" // the entry got the task's result or refusal; Detail tells them apart
	TaskQueued   Kind = "TaskQueued"   // the agent holds the task
	TaskStarted  Kind = "TaskStarted"  // the agent called the upstream
	TaskEnded    Kind = "TaskEnded"    // the upstream answered
	TaskRefused  Kind = "TaskRefused"  // the agent did not start the task and will not
	JobFenced    Kind = "JobFenced"    // the agent refuses lower epochs of the job from now on

	MemberDraining       Kind = "MemberDraining"       // this process finishes what it has and takes nothing new
	MemberResumed        Kind = "MemberResumed"        // this process takes work again
	LeaderElected        Kind = "LeaderElected"        // this controller leads
	LeaderLost           Kind = "LeaderLost"           // this controller no longer leads; Other is the leader that it knows
	MemberJoined         Kind = "MemberJoined"         // the run Other is recorded as a member
	DrainChanged         Kind = "DrainChanged"         // an operator drains or resumes the member Other
	ConfigurationChanged Kind = "ConfigurationChanged" // a revision is in force

	MemberDown Kind = "MemberDown" // this process learned that the run Other is recorded as down
)
