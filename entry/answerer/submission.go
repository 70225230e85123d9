package answerer

import (
	"bytes"
	"encoding/json"
	"io"
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

// decodeSubmission reads and checks a whole body. It returns every problem together.
func decodeSubmission(body io.Reader, key string, now time.Time) (specifier.Job, *specifier.Problems) {
	problems := &specifier.Problems{}
	var submission Submission
	decoder := json.NewDecoder(body)
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
	left, err := time.ParseDuration(submission.TimeLeft)
	if err != nil || left > specifier.MaxTimeLeft {
		problems.Add("TimeLeft", "is %.40q, expected a duration of at most %v such as \"1500ms\"", submission.TimeLeft, specifier.MaxTimeLeft)
	}
	job.Deadline = now.Add(left)
	for _, task := range submission.Tasks {
		job.Tasks = append(job.Tasks, specifier.Task{ID: task.Id, Payload: compact(task.Payload)})
	}
	problems.Merge("", job.Check())
	return job, problems.OrNil()
}

// compact removes insignificant space, so that a repeat that a library formats otherwise has
// the same digest.
func compact(payload json.RawMessage) []byte {
	var out bytes.Buffer
	if err := json.Compact(&out, payload); err != nil {
		return payload
	}
	return out.Bytes()
}
