package merger

import (
	"oleandertally/core/recorder"
	"oleandertally/core/specifier"
)

// subject identifies the events of one kind about one job or task. task is empty for events of a whole job.
type subject struct {
	job  specifier.JobID
	task string
	kind recorder.Kind
}
