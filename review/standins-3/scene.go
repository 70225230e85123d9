package main

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// scene is what a case plays at.
type scene struct {
	*site
	client  *client
	trouble bool
}

// cases are the cases by number. A case returns an error if it could not run.
var cases = map[int]func(*scene) error{
	11: cancelledJobs,
	12: oddReports,
	13: entryRestart,
	14: memoryOnly,
	15: workerOnProbation,
}

var (
	errNoLeader     = errors.New("no controller leads")
	errNotCancelled = errors.New("the job's cancelling was not acknowledged")
)

const (
	// restartPause is from the end of a process until it is started again.
	restartPause = 500 * time.Millisecond
	// stoppedEntry is an entry on a machine without a disk. Clients reach it as the last of the site's entries.
	stoppedEntry = "frontend-cartago-2-entry"
	// bestEffortMs is how long the clients of best-effort jobs wait. It is as long as the routes' timeout.
	bestEffortMs = 20000
)

// loneRack is the label of one worker only.
const loneRack = "r1-2"

// oneStep returns a job of one step.
func oneStep(number int, queue string, does work, one step) *job {
	return &job{id: fmt.Sprintf("5c0e7a21%08x", number), queue: queue, steps: []step{one}, does: does}
}

// submitAll hands in jobs, and returns an error unless all are accepted.
func (s *scene) submitAll(jobs ...*job) error {
	for _, each := range jobs {
		if !s.client.submit(each) {
			return fmt.Errorf("job %s was not accepted", each.id)
		}
	}
	return nil
}

// submitBestEffort hands in a best-effort job at an entry, and returns an error if the channel ends without an answer.
func (s *scene) submitBestEffort(entry string, j *job) error {
	began := time.Now()
	code, answer, err := exchange(http.MethodPost, "http://"+entry+j.queue+j.id, jobHost,
		map[string]any{"specification": j.does.encode(), "steps": j.steps, "bestEffort": true},
		bestEffortMs*time.Millisecond+callSlack, "X-Oleandertally-Deadline-Ms", fmt.Sprint(bestEffortMs))
	s.record.note("client: POST %s%s, best effort: after %.3f s: %d %s %v", j.queue, j.id, time.Since(began).Seconds(), code, answer, err)
	return err
}

// submitRunning hands in jobs and waits until each has something running.
func (s *scene) submitRunning(jobs ...*job) error {
	if err := s.submitAll(jobs...); err != nil {
		return err
	}
	return s.awaitRunning(jobs...)
}

// awaitRunning waits until each job has something running.
func (s *scene) awaitRunning(jobs ...*job) error {
	deadline := time.Now().Add(5 * time.Second)
	for _, each := range jobs {
		for !s.watch.runsNow(each) {
			if time.Now().After(deadline) {
				return fmt.Errorf("job %s does not run", each.id)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	return nil
}

// judge waits for finish_s after the end of the traffic, judges all accepted jobs and asks for the states of some.
func (s *scene) judge(span time.Duration, shown ...*job) error {
	s.record.note("the traffic has ended")
	time.Sleep(finishTime)
	s.watch.judgeIdle(span)
	for _, each := range shown {
		s.client.state(each)
	}
	return nil
}
