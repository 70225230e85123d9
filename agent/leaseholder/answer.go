package leaseholder

import "time"

// Answer is what every answer of the worker says.
type Answer struct {
	CalledAt time.Time     // when the call was made
	Lost  bool          // there was no answer: the call may have been carried out, or may be later
	Clock time.Duration // the worker's clock; 0 when not told
	StartedAt  time.Time     // start of the worker's life; zero when not told
	OtherIncarnation bool          // another life answered than the one that was called
}
