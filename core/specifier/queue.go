package specifier

import "time"

// Queue accepts the jobs of one kind and defines how they are run.
type Queue struct {
	Name        string
	Host        string
	Prefix      string        // prefix of the path; the rest of the path is the job's ID
	Pool        string        // pool of the workers that run its tasks
	Priority    int           // 0 comes first
	MaxAttempts int           // runs of a task that may fail before the job has failed
	Stretch     float64       // factor of the ideal run time in the objective
	Target      time.Duration // fixed part of the objective
}

// maxObjective bounds the part of an objective that depends on the run time, in nanoseconds.
const maxObjective = float64(100 * 24 * time.Hour)

// Objective returns the time within which a job of the given ideal run time should end.
func (q Queue) Objective(ideal time.Duration) time.Duration {
	return q.Target + time.Duration(min(q.Stretch*float64(ideal), maxObjective))
}
