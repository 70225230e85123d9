package tracer

import "time"

// Job is one submission of a trace.
type Job struct {
	AtMillis       int    // arrival at the entry's load balancer
	Entry          int    // the entry that receives it, from 0
	Team           string `json:",omitempty"`
	Profile        string
	TimeLeftMillis int
	RunMillis      []int // run time of each task on a healthy worker
	CancelMillis   int   `json:",omitempty"` // when the caller cancels; 0: never
	Poison         bool  `json:",omitempty"` // every task fails immediately on any worker
}

// At returns the time of arrival since the start of the trace.
func (j Job) At() time.Duration { return millis(j.AtMillis) }

// TimeLeft returns the time from arrival to the deadline.
func (j Job) TimeLeft() time.Duration { return millis(j.TimeLeftMillis) }

// Run returns the run time of task i.
func (j Job) Run(i int) time.Duration { return millis(j.RunMillis[i]) }

// Work returns the total run time of the tasks.
func (j Job) Work() time.Duration {
	total := 0
	for _, run := range j.RunMillis {
		total += run
	}
	return millis(total)
}

// Longest returns the run time of the longest task.
func (j Job) Longest() time.Duration {
	longest := 0
	for _, run := range j.RunMillis {
		longest = max(longest, run)
	}
	return millis(longest)
}

// Ideal returns the minimum response time on a number of slots with the given round trip from the caller.
func (j Job) Ideal(slots int, roundTrip time.Duration) time.Duration {
	return max(j.Longest(), j.Work()/time.Duration(slots)) + roundTrip
}

func millis(count int) time.Duration { return time.Duration(count) * time.Millisecond }
