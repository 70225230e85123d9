package responder

import "encoding/json"

// SubmittedTask is one task of a submission.
type SubmittedTask struct {
	Id      string
	Payload json.RawMessage // any JSON value; the upstream gets it as it is, without insignificant space
}
