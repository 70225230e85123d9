package leaseholder

import "time"

// LogEvent is one decision for the log.
type LogEvent struct {
	Event  string
	Task   string
	Run    uint64
	Detail string
	Age    time.Duration
	Count  int
}
