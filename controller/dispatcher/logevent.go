package dispatcher

import "time"

// LogEvent writes one decision to the log. Fields that do not apply are zero.
type LogEvent struct {
	Event  string
	Job    string
	Task   string
	Run    uint64
	Agent  string
	Queue  string
	Detail string
	Age    time.Duration // since the job arrived, the run started or the agent last renewed; for JobArrived, the critical path
	// Count is, for a job, its tasks that are not done; JobRefused: tasks in the ready queue; ManifestInForce: the version;
	// QueuesLed and AgentsListed: agents; AgentLost: runs.
	Count int
}
