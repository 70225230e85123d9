package verifier

import (
	"fmt"

	"oleandertally/core/recorder"
)

// Violation is one violation of a rule.
type Violation struct {
	Rule   Rule
	Event  recorder.Event   // the event that breaks the rule
	Others []recorder.Event // the events that it contradicts
	Detail string
}

// String names the rule, the job, the process and what happened.
func (v Violation) String() string {
	return fmt.Sprintf("%s: job %s task %q epoch %d at %s #%d: %s",
		v.Rule, v.Event.Job, v.Event.Task, v.Event.Epoch, v.Event.Process, v.Event.Sequence, v.Detail)
}
