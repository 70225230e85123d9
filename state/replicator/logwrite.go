package replicator

import "time"

// logWrite is a pending disk write, after which the stored log ends at last.
type logWrite struct {
	write    Write
	last     Index
	issuedAt time.Time
}
