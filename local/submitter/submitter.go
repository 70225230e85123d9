package submitter

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"oleandertally/entry/answerer"
	"oleandertally/local/emulator"
	"oleandertally/replay/tracer"
)

// Submitter submits jobs to entries. Its fields are set before use.
type Submitter struct {
	Entries []netip.AddrPort
	Client  *http.Client
	Prefix  string // prefix of the idempotency keys
}

// Replay submits every job of a trace at its arrival time and waits for all answers.
func (s *Submitter) Replay(ctx context.Context, trace tracer.Trace) ([]Result, error) {
	results := make([]Result, len(trace.Jobs))
	startedAt := time.Now()
	group, ctx := errgroup.WithContext(ctx)
	for i, job := range trace.Jobs {
		group.Go(func() error {
			timer := time.NewTimer(time.Until(startedAt.Add(job.At())))
			defer timer.Stop()
			select {
			case <-timer.C:
			case <-ctx.Done():
				return context.Cause(ctx)
			}
			results[i] = s.Submit(ctx, job, fmt.Sprintf("%s-%05d", s.Prefix, i))
			return nil
		})
	}
	return results, group.Wait()
}

// Submit submits one job to the entry that the job names.
func (s *Submitter) Submit(ctx context.Context, job tracer.Job, key string) Result {
	result := Result{Job: job, Key: key}
	body, err := json.Marshal(NewSubmission(job))
	if err != nil {
		result.Err = errors.Wrap(err, "submitter: encode")
		return result
	}
	sent := time.Now()
	result.Response, result.Status, result.Err = s.Post(ctx, job.Entry, key, body)
	result.Took = time.Since(sent)
	return result
}

// Post sends a request body to an entry and returns the answer and its HTTP status.
func (s *Submitter) Post(ctx context.Context, entry int, key string, body []byte) (answerer.Response, int, error) {
	var response answerer.Response
	url := "http://" + s.Entries[entry%len(s.Entries)].String() + "/v1/jobs"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return response, 0, errors.Wrap(err, "submitter: build the request")
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Idempotency-Key", key)
	reply, err := s.Client.Do(request)
	if err != nil {
		return response, 0, errors.Wrap(err, "submitter: send")
	}
	defer reply.Body.Close()
	err = json.NewDecoder(reply.Body).Decode(&response)
	return response, reply.StatusCode, errors.Wrap(err, "submitter: decode the answer")
}

// NewSubmission converts a job of a trace to a request.
func NewSubmission(job tracer.Job) answerer.Submission {
	submission := answerer.Submission{Team: job.Team, Profile: job.Profile, TimeLeft: job.TimeLeft().String()}
	for i := range job.RunMillis {
		payload, _ := json.Marshal(emulator.Payload{RunMillis: job.RunMillis[i], Fail: job.Poison})
		submission.Tasks = append(submission.Tasks, answerer.SubmittedTask{Id: fmt.Sprintf("t%03d", i), Payload: payload})
	}
	return submission
}
