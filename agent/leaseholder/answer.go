package leaseholder

import "time"

// Answer holds the fields that all answers of the worker share.
type Answer struct {
	CalledAt         time.Time     // when the call was made
	Lost             bool          // there was no answer: the worker may have carried out the call, or may still do so
	Clock            time.Duration // reading of the worker's clock; 0 if unknown
	StartedAt        time.Time     // start of the worker's process; zero if unknown
	OtherIncarnation bool          // the answer comes from a different incarnation than the one that was called
}
