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
	// MaxDetail is the longest Detail of an answer, in bytes. The controllers remember it for
	// every finished submission, so it is short.
	MaxDetail = 256
	// MaxDecisionDetail is the longest Detail of a decision, in bytes: enough for all Problems of a change.
	MaxDecisionDetail = 4 << 10
	// MaxProfiles is the largest number of profiles in a configuration.
	MaxProfiles = 1024
	// MaxTeams is the largest number of teams in a configuration; 220 are expected.
	MaxTeams = 1024
	// MaxMembers is the largest number of members; 940 workers are expected.
	MaxMembers = 4096
	// MaxDeparted is the largest number of incarnations that are remembered as Down: enough for all
	// members to restart four times within MaxTimeLeft + KeyRetention.
	MaxDeparted = 16384
	// MaxSlots is the largest number of slots of one upstream.
	MaxSlots = 4096
	// MaxBatch is the largest number of commands in one log entry.
	MaxBatch = 4096
	// MaxSubmissions is the highest limit on remembered submissions that a controller accepts.
	MaxSubmissions = 10_000_000
	// MaxAdvance is the longest step of the log's clock in one batch: a larger step would expire the
	// submissions of every replica at once.
	MaxAdvance = 24 * time.Hour
	// MaxName is the longest key, team, profile, task or member name, in bytes.
	MaxName = 128
	// MaxTimeLeft bounds how far ahead a deadline may lie.
	MaxTimeLeft = time.Hour
	// MaxRequests is the largest number of remembered configuration changes, two days of the
	// expected 3,800 a day.
	MaxRequests = 8192
	// RequestRetention is how long a configuration change is remembered for a resend.
	RequestRetention = 24 * time.Hour
	// MaxRestarts is the largest number of incarnations of one name that are remembered as Down,
	// so that one process that keeps crashing cannot use up MaxDeparted.
	MaxRestarts = 64
	// RefusalRetention is how long a refused key gets the same refusal again, on the log's clock. It
	// exceeds the time that an entry waits for a decision, so that every copy that was in flight when
	// the job was refused gets the same answer. Afterwards the key may be submitted again.
	RefusalRetention = 10 * time.Second
	// KeyRetention is how long a key is remembered after its job's deadline.
	KeyRetention = 10 * time.Minute
)
