package submitter

import (
	"time"

	"oleandertally/entry/responder"
	"oleandertally/replay/tracer"
)

// Result is what became of one job.
type Result struct {
	Job      tracer.Job
	Key      string
	Response responder.Response
	Status   int
	Took     time.Duration
	Err      error // the request got no answer
}
