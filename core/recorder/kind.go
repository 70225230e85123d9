package recorder

// Kind is the kind of an event.
type Kind string

// The kinds of events. Event.Other identifies the peer, such as the worker of a task or the owner of a job.
const (
	JobSubmitted Kind = "JobSubmitted" // a caller's request arrived at an entry
	JobAttached  Kind = "JobAttached"  // a repeated submission waits for the answer of the running job; its owner is Other, or this entry when Other is empty
	JobProposed  Kind = "JobProposed"  // the entry proposed to the controllers to record the job
	JobAccepted  Kind = "JobAccepted"  // the job's record is replicated and this entry owns the job
	JobTaken     Kind = "JobTaken"     // this entry took the job over because its owner is down
	JobAnswered  Kind = "JobAnswered"  // an answer was sent to a caller; Detail contains outcome and reason, see FormatAnswer
	TaskAssigned Kind = "TaskAssigned" // the entry sent the task to an agent
	TaskReturned Kind = "TaskReturned" // the entry received the task's result or refusal; see IsRefusal
	TaskQueued   Kind = "TaskQueued"   // the agent accepted the task into its queue
	TaskStarted  Kind = "TaskStarted"  // the agent called the upstream
	TaskEnded    Kind = "TaskEnded"    // the upstream answered
	TaskRefused  Kind = "TaskRefused"  // the agent refused the task: it did not start the task and will not
	JobFenced    Kind = "JobFenced"    // the agent refuses lower epochs of the job from this event on

	MemberDraining       Kind = "MemberDraining"       // this process finishes its work and accepts no new work
	MemberResumed        Kind = "MemberResumed"        // this process accepts work again
	LeaderElected        Kind = "LeaderElected"        // this controller became the leader
	LeaderLost           Kind = "LeaderLost"           // this controller is no longer the leader; Other is the new leader, if known
	MemberJoined         Kind = "MemberJoined"         // the process Other, with its incarnation, is recorded as a member
	DrainChanged         Kind = "DrainChanged"         // an operator drained or resumed the member Other
	ConfigurationChanged Kind = "ConfigurationChanged" // a new revision of the configuration is in force

	MemberDown Kind = "MemberDown" // this process received the record that the process Other is down
)
