package answerer

import (
	"bytes"
	"encoding/json"
	"io"
	"strings"
	"time"

	"oleandertally/core/specifier"
)

// Submission is the body of POST /v1/jobs.
type Submission struct {
	Team     string
	Profile  string
	TimeLeft string // a Go duration such as "1500ms", from when the request arrives to the deadline
	Tasks    []SubmittedTask
}

// decodeSubmission reads and validates a whole body. It returns all problems of a well-formed body together.
func decodeSubmission(body io.Reader, key string, now time.Time) (specifier.Job, *specifier.Problems) {
	problems := &specifier.Problems{}
	var submission Submission
	content, err := io.ReadAll(body)
	if err != nil {
		problems.Add("Body", "can't be read: %v", err)
		return specifier.Job{}, problems
	}
	if name, found := repeatedName(content); found {
		problems.Add(name, "is given more than once")
		return specifier.Job{}, problems
	}
	decoder := json.NewDecoder(bytes.NewReader(content))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&submission); err != nil {
		problems.Add("Body", "%v, expected Team, Profile, TimeLeft and Tasks with Id and Payload", err)
		return specifier.Job{}, problems
	}
	if _, err := decoder.Token(); err != io.EOF {
		problems.Add("Body", "has more after the JSON object")
		return specifier.Job{}, problems
	}
	job := specifier.Job{ID: specifier.NewJobID(submission.Team, key), Team: submission.Team, Key: key, Profile: submission.Profile}
	timeLeft, err := time.ParseDuration(submission.TimeLeft)
	if err != nil || timeLeft <= 0 || timeLeft > specifier.MaxTimeLeft {
		problems.Add("TimeLeft", "is %.40q, expected a duration of more than 0 and at most %v such as \"1500ms\"", submission.TimeLeft, specifier.MaxTimeLeft)
	}
	job.Deadline = now.Add(timeLeft)
	for _, task := range submission.Tasks {
		job.Tasks = append(job.Tasks, specifier.Task{ID: task.Id, Payload: compact(task.Payload)})
	}
	problems.Merge("", job.Check())
	return job, problems.OrNil()
}

// repeatedName returns a name that occurs more than once in one object of the body, payloads excepted. The decoder
// would silently use the last value, while another reader of the same body might use the first.
func repeatedName(content []byte) (string, bool) {
	decoder := json.NewDecoder(bytes.NewReader(content))
	var objects []map[string]bool // the names in each open object; nil for an array
	key := false
	for {
		token, err := decoder.Token()
		if err != nil {
			return "", false // the actual decoding reports the problem
		}
		open := len(objects) - 1
		switch value := token.(type) {
		case json.Delim:
			switch value {
			case '{':
				objects = append(objects, make(map[string]bool))
				key = true
			case '[':
				objects = append(objects, nil)
				key = false
			default:
				objects = objects[:open]
				key = open > 0 && objects[open-1] != nil
			}
			continue
		case string:
			if key && open >= 0 && objects[open] != nil {
				name := strings.ToLower(value) // the decoder ignores case
				if objects[open][name] {
					return value, true
				}
				objects[open][name] = true
				key = false
				if name == "payload" {
					var skipped json.RawMessage
					if decoder.Decode(&skipped) != nil {
						return "", false
					}
					key = true
				}
				continue
			}
		}
		key = open >= 0 && objects[open] != nil
	}
}

// compact removes insignificant white space, so that a resubmission that a library formats differently has
// the same digest.
func compact(payload json.RawMessage) []byte {
	var out bytes.Buffer
	if err := json.Compact(&out, payload); err != nil {
		return payload
	}
	return out.Bytes()
}
