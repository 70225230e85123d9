package specifier

import "time"

// Job is one submission of a caller.
type Job struct {
	ID       JobID
	Team     string
	Key      string // the caller's idempotency key
	Profile  string
	Deadline time.Time // on the clock of the process that uses the value
	Tasks    []Task    // 1 to MaxTasks
}

// Check returns every problem of the job's fields, or nil.
func (j Job) Check() *Problems {
	found := &Problems{}
	found.Name("Idempotency-Key", j.Key)
	found.Name("Team", j.Team)
	found.Name("Profile", j.Profile)
	if len(j.Tasks) < 1 || len(j.Tasks) > MaxTasks {
		found.Add("Tasks", "has %d tasks, expected 1 to %d", len(j.Tasks), MaxTasks)
	}
	seen := make(map[string]bool, len(j.Tasks))
	for i, task := range j.Tasks {
		field := indexed("Tasks", i)
		found.Name(field+".Id", task.ID)
		if seen[task.ID] {
			found.Add(field+".Id", "repeats %q", task.ID)
		}
		seen[task.ID] = true
		if len(task.Payload) > MaxPayload {
			found.Add(field+".Payload", "has %d bytes, expected at most %d", len(task.Payload), MaxPayload)
		}
	}
	return found.OrNil()
}
