package submitter

import (
	"time"

	"oleandertally/entry/answerer"
	"oleandertally/replay/tracer"
)

// Result is the answer to one job.
type Result struct {
	Job      tracer.Job
	Key      string
	Response answerer.Response
	Status   int // HTTP status code
	Took     time.Duration
	Err      error // why there is no answer
}
