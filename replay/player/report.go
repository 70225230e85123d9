package player

import "time"

// Report is the result of playing one trace with one variant.
type Report struct {
	Records   []Record
	Messages  int           // between entries and agents
	Tasks     int           // assignments to agents
	SlotTime  time.Duration // total run time of the tasks
	LostTasks map[int]int   // tasks that failed on an unhealthy worker, by entry
	// UsefulSlotTime is the slot time that jobs completed in time used in the goodput window.
	UsefulSlotTime time.Duration
	Ejected        map[string]int           // number of ejections, by name of the worker
	TeamSlotTime   map[string]time.Duration // slot time used in the goodput window, by team
}
