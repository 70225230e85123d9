package leaseholder

import "time"

// LogEvent is a decision to be logged.
type LogEvent struct {
	Event  string
	Task   string
	Run    uint64
	Detail string
	Age    time.Duration
	Count  int
}
