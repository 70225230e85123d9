package player

import "time"

// Report is the result of playing one trace with one variant.
type Report struct {
	Records   []Record
	Messages  int           // between entries and agents
	Tasks     int           // sent to an agent
	SlotTime  time.Duration // slot time spent on tasks
	LostTasks map[int]int   // tasks failed by a sick worker, for each entry
	// Useful is the slot time, in the window in which goodput is measured, of jobs completed in time.
	UsefulSlotTime time.Duration
	Ejected        map[string]int           // times that a worker was ejected, by name
	TeamSlotTime   map[string]time.Duration // slot time in the same window
}
