package merger

import (
	"oleandertally/core/recorder"
	"oleandertally/core/specifier"
)

// subject is what events are about. Task is empty for events of a whole job.
type subject struct {
	job  specifier.JobID
	task string
	kind recorder.Kind
}
