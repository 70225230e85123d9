package answerer

import "encoding/json"

// SubmittedTask is one task of a submission.
type SubmittedTask struct {
	Id      string
	Payload json.RawMessage // any JSON value; passed to the upstream unchanged except for insignificant white space
}
