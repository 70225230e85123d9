package dispatcher

import "time"

// LogEvent is one decision for the log. Fields that do not apply are zero.
type LogEvent struct {
	Event  string
	Job    string
	Task   string
	Run    uint64
	Agent  string
	Queue  string
	Detail string
	Age    time.Duration // of the input that decided: since the job arrived, or since the agent's last renewal
	Count  int           // tasks of the job that are not done
}
