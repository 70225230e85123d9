package main

import (
	"fmt"
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
	11: lostWorker,
	12: agentRestart,
	13: oddReport,
	14: entryRestart,
	15: largeJobs,
}

// loneRack is the label of one worker only.
const loneRack = "r1-2"

// kept returns a kept job of one step.
func kept(number int, queue string, does work, one step) *job {
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

// submitRunning hands in jobs and waits until each has something running.
func (s *scene) submitRunning(jobs ...*job) error {
	if err := s.submitAll(jobs...); err != nil {
		return err
	}
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
