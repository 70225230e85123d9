package dispatcher

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Settings are the times and bounds of a Dispatcher.
type Settings struct {
	GrantSpan   time.Duration // how long a grant lasts from when the agent asked for it
	GrantMargin time.Duration // more than clocks of agents and controllers run apart within GrantSpan
	OrphanAfter time.Duration // a run that no job claims is stopped this long after it was listed
	// BlockedAfter takes the place of OrphanAfter for a run whose room is not known: nothing is started beside it.
	BlockedAfter time.Duration
	KeepAfter    time.Duration // how long the outcome of a transient job waits for a resubmission
	MaxWaiting   int           // tasks that wait at most before jobs are refused
}

// Defaults suit callers that resubmit after more than a second.
func Defaults() Settings {
	return Settings{
		GrantSpan:    1200 * time.Millisecond,
		GrantMargin:  150 * time.Millisecond,
		OrphanAfter:  1800 * time.Millisecond,
		BlockedAfter: 100 * time.Millisecond,
		KeepAfter:    4 * time.Second,
		MaxWaiting:   20_000,
	}
}

// Check returns an error that names the first setting that is out of range.
func (s Settings) Check() error {
	for _, span := range []struct {
		name  string
		value time.Duration
	}{{"GrantSpan", s.GrantSpan}, {"GrantMargin", s.GrantMargin}, {"OrphanAfter", s.OrphanAfter}, {"BlockedAfter", s.BlockedAfter}, {"KeepAfter", s.KeepAfter}} {
		if span.value <= 0 {
			return errors.Newf("%s: got %v, expected more than 0", span.name, span.value)
		}
	}
	if s.MaxWaiting < 1 {
		return errors.Newf("MaxWaiting: got %d, expected at least 1", s.MaxWaiting)
	}
	return nil
}
