package specifier

import "time"

const (
	// MaxTasks is the largest number of tasks in one job.
	MaxTasks = 270
	// MaxPayload is the largest payload of one task, in bytes.
	MaxPayload = 64 << 10
	// MaxBody is the largest body of a submission, in bytes.
	MaxBody = 4 << 20
	// MaxResult is the largest result of one task, in bytes.
	MaxResult = 64 << 10
	// MaxName is the longest key, team, profile, task or member name, in bytes.
	MaxName = 128
	// MaxTimeLeft bounds how far ahead a deadline may lie.
	MaxTimeLeft = time.Hour
	// KeyRetention is how long a key is remembered after its job's deadline.
	KeyRetention = 10 * time.Minute
)
