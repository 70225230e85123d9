package submitter

import (
	"time"

	"oleandertally/entry/responder"
	"oleandertally/replay/tracer"
)

// Result is the answer to one job.
type Result struct {
	Job      tracer.Job
	Key      string
	Response responder.Response
	Status   int // of HTTP
	Took     time.Duration
	Err      error // why there is no answer
}
