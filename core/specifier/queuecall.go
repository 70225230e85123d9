package specifier

import "time"

// QueueCall is a request of a caller or an operator to the leading controller.
type QueueCall struct {
	Verb     QueueVerb
	Host     string
	Path     string
	Job      QueuedJob     // with SubmitQueued; the path gives queue and ID
	TimeLeft time.Duration // time until the caller stops waiting
	Age      time.Duration // time since the call arrived at the entry
	Manifest *Manifest     // with PutManifest
	// Resubmitted reports that the entry has sent the call before, perhaps to another controller.
	Resubmitted bool
	// Zone is the availability zone that EvacuateZone or RestoreZone names; otherwise that of the entry.
	Zone string
}
