package responder

import "encoding/json"

// TaskResult is what one task returned.
type TaskResult struct {
	Id     string
	Result json.RawMessage `json:",omitempty"` // the upstream's JSON, or its text as a JSON string
	Base64 []byte          `json:",omitempty"` // instead of Result when the upstream's bytes are not text
}
