package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// job is a job of a case's client.
type job struct {
	id    string
	queue string // prefix of its path
	steps []step
	does  work
}

// step is a step of a job, as the pages define it.
type step struct {
	Count        int    `json:"count"`
	CPU          int    `json:"cpu,omitempty"`
	Memory       int    `json:"memoryRequestMb,omitempty"`
	EstimatedMs  int    `json:"estimatedMs"`
	After        []int  `json:"after,omitempty"`
	Requirements string `json:"requirements,omitempty"`
	AntiAffinity int    `json:"antiAffinity,omitempty"`
}

const (
	jobHost   = "jobs.example"
	clientMs  = 1500 // how long clients wait
	maxTries  = 8
	callSlack = 500 * time.Millisecond
)

// client submits kept jobs and asks for their states, at one entry after the other.
type client struct {
	entries []string
	record  *record
	watch   *watch
	next    int
}

func (c *client) call(method, path string, body any) (int, []byte, error) {
	entry := c.entries[c.next%len(c.entries)]
	c.next++
	code, answer, err := exchange(method, "http://"+entry+path, jobHost, body, clientMs*time.Millisecond+callSlack, "X-Oleandertally-Deadline-Ms", fmt.Sprint(clientMs))
	c.record.note("client: %s %s: %d %s %v", method, path, code, answer, err)
	return code, answer, err
}

// submit hands in a job, and again after no answer, 502 or 504. It reports whether the job was accepted.
func (c *client) submit(j *job) bool {
	c.watch.submitted(j)
	for range maxTries {
		code, _, err := c.call(http.MethodPost, j.queue+j.id, map[string]any{"specification": j.does.encode(), "steps": j.steps})
		switch {
		case err != nil || code == http.StatusBadGateway || code == http.StatusGatewayTimeout:
			time.Sleep(200 * time.Millisecond)
		case code/100 == 2:
			c.watch.accepted(j)
			return true
		default:
			return false
		}
	}
	return false
}

// state asks for the state of a job.
func (c *client) state(j *job) string {
	code, answer, err := c.call(http.MethodGet, j.queue+j.id, nil)
	var body struct{ State string }
	if err != nil || code != http.StatusOK || json.Unmarshal(answer, &body) != nil {
		return fmt.Sprintf("%d", code)
	}
	return body.State
}
