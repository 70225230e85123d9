package coordinator

// phase is where a job stands at this entry.
type phase int

const (
	looking    phase = iota // LookupJob is undecided: a refusal waits for it
	proposing               // AcceptJob or TakeOverJob is undecided
	stale                   // waits for a newer configuration
	backingOff              // proposes again at job.retryAt
	attached                // another entry owns the job
	collecting              // agents are asked for their records
	running                 // tasks wait, run or are done
	recording               // FinishJob or ReleaseJob is undecided: the answer waits for it
	answered
)
