package answerer

import "encoding/json"

// TaskResult is the result of one task.
type TaskResult struct {
	Id     string
	Result json.RawMessage `json:",omitempty"` // the upstream's JSON, or its text as a JSON string
	Base64 []byte          `json:",omitempty"` // replaces Result when the upstream's response is not valid UTF-8
}
