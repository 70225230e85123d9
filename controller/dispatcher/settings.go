package dispatcher

import (
	"math"
	"time"

	"github.com/cockroachdb/errors"

	"oleandertally/dispatch/admitter"
)

// Settings are the times and limits of a Dispatcher.
type Settings struct {
	GrantSpan   time.Duration // duration of a grant, from the agent's request
	GrantMargin time.Duration // exceeds the drift between the clocks of agents and controllers within GrantSpan
	OrphanAfter time.Duration // a run that no job claims is stopped this long after it was listed
	// BlockedAfter replaces OrphanAfter for a run of unknown resources, because no task is started on its worker meanwhile.
	BlockedAfter time.Duration
	// ResendAfter is the least time between two attempts of a caller at the same transient job, from the first one's start. It lets a
	// new leader start new jobs before every agent has answered. 0 if it is not known.
	ResendAfter time.Duration
	KeepAfter   time.Duration // how long an ended or abandoned transient job is kept for a resubmission
	MaxWaiting  int           // bound on the tasks that wait for a worker; jobs beyond it are refused
	MaxRecorded int           // bytes of records beyond which jobs that must be recorded are refused
	// StaleAfter is how long an agent may be silent before no task is started there; longer where agents renew less often.
	StaleAfter time.Duration
	// Admission refuses transient jobs that would not end in time to be of use.
	Admission admitter.Policy
	// RemoteFactor is by which a task takes longer away from the rack of its data; 0 or 1 if it is not known.
	RemoteFactor float64
}

// Defaults returns settings for callers that resubmit after more than a second.
func Defaults() Settings {
	return Settings{
		GrantSpan:    1200 * time.Millisecond,
		GrantMargin:  150 * time.Millisecond,
		OrphanAfter:  1800 * time.Millisecond,
		BlockedAfter: 100 * time.Millisecond,
		KeepAfter:    4 * time.Second,
		MaxWaiting:   20_000,
		MaxRecorded:  64 << 20, // with the manifest, a snapshot takes less than jobrecorder can read
		StaleAfter:   300 * time.Millisecond,
		Admission:    admitter.ByObjective{},
	}
}

// Check returns an error that names the first setting that is out of range.
func (s Settings) Check() error {
	for _, span := range []struct {
		name  string
		value time.Duration
	}{{"GrantSpan", s.GrantSpan}, {"GrantMargin", s.GrantMargin}, {"OrphanAfter", s.OrphanAfter}, {"BlockedAfter", s.BlockedAfter}, {"KeepAfter", s.KeepAfter}, {"StaleAfter", s.StaleAfter}} {
		if span.value <= 0 {
			return errors.Newf("%s: got %v, expected more than 0", span.name, span.value)
		}
	}
	if s.ResendAfter < 0 {
		return errors.Newf("ResendAfter: got %v, expected at least 0", s.ResendAfter)
	}
	if s.RemoteFactor < 0 || math.IsNaN(s.RemoteFactor) {
		return errors.Newf("RemoteFactor: got %v, expected at least 0", s.RemoteFactor)
	}
	if s.MaxWaiting < 1 {
		return errors.Newf("MaxWaiting: got %d, expected at least 1", s.MaxWaiting)
	}
	if s.MaxRecorded < 1 {
		return errors.Newf("MaxRecorded: got %d, expected at least 1", s.MaxRecorded)
	}
	if s.Admission == nil {
		return errors.New("Admission: is not set")
	}
	return nil
}
