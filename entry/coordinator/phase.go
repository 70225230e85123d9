package coordinator

// phase is the state of a job at this entry.
type phase int

const (
	refusing   phase = iota // RefuseJob is undecided; the answer waits for the decision
	proposing               // AcceptJob or TakeOverJob is undecided
	stale                   // waits for a newer configuration
	backingOff              // the entry proposes the job again at job.retryAt
	attached                // another entry owns the job
	collecting              // the entry waits for the agents' records
	running                 // tasks wait, run or are done
	recording               // FinishJob is undecided; the answer waits for the decision
	answered
)
