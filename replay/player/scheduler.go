package player

import (
	"time"

	"oleandertally/core/specifier"
	"oleandertally/dispatch/limiter"
	"oleandertally/dispatch/scheduler"
)

// Scheduler has the scheduler's methods that an entry's coordinator calls.
type Scheduler interface {
	SetMembers(now time.Time, members []specifier.Member) []scheduler.Assignment
	SetConnected(now time.Time, id specifier.Identity, connected bool)
	Admit(now time.Time, job specifier.Job, profile specifier.Profile) *scheduler.Refusal
	Enqueue(now time.Time, items []scheduler.Item)
	Dispatch(now time.Time) []scheduler.Assignment
	TaskEnded(now time.Time, id specifier.Identity, key specifier.TaskKey, ok bool, runTime time.Duration)
	TaskRefused(now time.Time, id specifier.Identity, key specifier.TaskKey)
	UpdateLoad(now time.Time, id specifier.Identity, load specifier.Load)
	Ejections() []specifier.Identity
	RemoveJob(job specifier.JobID)
	Next() time.Time
	Need(service string) map[string]float64
	SetLease(now time.Time, service string, lease limiter.Lease)
}
