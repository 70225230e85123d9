package supervisor

import (
	"github.com/rs/zerolog"

	"oleandertally/core/specifier"
)

// The field names of the log. Every line has Time, Level, Process, Role and Event; Error holds the
// text of an error. Payloads, results and tokens are never logged.
const (
	FieldTime    = "Time"
	FieldLevel   = "Level"
	FieldMessage = "Message"
	FieldProcess = "Process"
	FieldRole    = "Role"
	FieldEvent   = "Event"
	FieldJob     = "Job"
	FieldTask    = "Task"
	FieldEpoch   = "Epoch"
	FieldPeer    = "Peer"
	FieldError   = "Error"
)

// Fields are the fields that most log lines share. Empty ones are omitted. Pass them to EmbedObject.
type Fields struct {
	Event string // kind of event in PascalCase; operators search for it, so it must not change
	Job   specifier.JobID
	Task  string
	Epoch specifier.Epoch
	Peer  string // name of the other process
}

// MarshalZerologObject adds the fields that are set.
func (f Fields) MarshalZerologObject(event *zerolog.Event) {
	event.Str(FieldEvent, f.Event)
	if f.Job != (specifier.JobID{}) {
		event.Stringer(FieldJob, f.Job)
	}
	if f.Task != "" {
		event.Str(FieldTask, f.Task)
	}
	if f.Epoch != 0 {
		event.Uint64(FieldEpoch, uint64(f.Epoch))
	}
	if f.Peer != "" {
		event.Str(FieldPeer, f.Peer)
	}
}
