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
	// Age is since the job arrived, the run started, the agent last renewed, the leader stopped placing in the zone or the restore was
	// proposed; for JobArrived, the critical path.
	Age time.Duration
	// Count is, for a job, its tasks that are not done; JobRefused: tasks in the ready queue; ManifestInForce: the version;
	// QueuesLed and AgentsListed: agents; AgentLost: runs; ZoneEvacuated and ZoneRestored: agents of the zone, which is the Detail;
	// WorkWaitsForZone: tasks.
	Count int
}
