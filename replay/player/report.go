package player

import "time"

// Report is the result of playing one trace with one variant.
type Report struct {
	Records  []Record
	Messages int           // between entries and agents
	Tasks    int           // sent to an agent
	Ran      time.Duration // slot time spent on tasks
	Lost     map[int]int   // tasks failed by a sick worker, for each entry
	// Useful is the slot time, in the window in which goodput is measured, of jobs completed in time.
	Useful  time.Duration
	Ejected map[string]int           // times that a worker was ejected, by name
	TeamRan map[string]time.Duration // slot time in the same window
}
