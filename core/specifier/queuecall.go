package specifier

import (
	"time"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
)

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

// Check returns an error for a call that cannot be encoded: text that is not valid UTF-8.
func (c QueueCall) Check() error {
	if !utf8.ValidString(c.Host) || !utf8.ValidString(c.Path) || !utf8.ValidString(c.Zone) {
		return errors.New("host, path or zone is not valid UTF-8")
	}
	return c.Job.checkText()
}
