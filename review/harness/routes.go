package main

import (
	"fmt"
	"net/http"
	"time"
)

const otherPrefix = "/pufi791/"

// failedCase removes the queue of a job and adds it again, while a run of the job's only task fails once. The queue allows four runs to
// fail. The job must not be shown as failed.
func failedCase(s *site, trouble bool) (verdict, error) {
	queue, other := route(queueName, queuePrefix, 4), route("r-73d3zji", otherPrefix, 4)
	if err := s.configure(manifest(1, queue, other), 20*time.Second); err != nil {
		return "", err
	}
	if err := s.ready(queuePrefix); err != nil {
		return "", err
	}
	id := newID()
	if err := s.submit(queuePrefix, id, work{Ms: 4000, Fails: 1}, []map[string]any{{"count": 1, "cpu": 2000, "memoryRequestMb": 64, "estimatedMs": 4000}}); err != nil {
		return "", err
	}
	if s.awaitRun(id, 5*time.Second) < 0 {
		return "", fmt.Errorf("the job does not start")
	}
	second := manifest(2, other)
	if !trouble {
		second = manifest(2, queue, other)
	}
	if err := s.configure(second, 5*time.Second); err != nil {
		return "", err
	}
	// The run fails 4 s after its start. The queue returns later.
	time.Sleep(7 * time.Second)
	if err := s.configure(manifest(3, queue, other), 5*time.Second); err != nil {
		return "", err
	}
	time.Sleep(configApply)
	last := answer{}
	for until := time.Now().Add(finishBound); time.Now().Before(until); time.Sleep(500 * time.Millisecond) {
		last = s.call(http.MethodGet, s.entryAddr(0), queuePrefix+id, nil, time.Second)
		switch last.state() {
		case "failed":
			return verdict(fmt.Sprintf("job %s is shown as failed after %d failed runs of its task, and 4 are allowed", id, s.failedRuns(id+".0.0.0"))), nil
		case "completed":
			return "", nil
		}
	}
	return "", fmt.Errorf("job %s has not ended; last answer: %d %s", id, last.code, last.body)
}

// stalledCase removes the queue of an accepted job, and then kills the leading controller and starts it again. The second step of the
// job must start.
func stalledCase(s *site, trouble bool) (verdict, error) {
	queue, other := route(queueName, queuePrefix, 4), route("r-73d3zji", otherPrefix, 4)
	if err := s.configure(manifest(1, queue, other), 20*time.Second); err != nil {
		return "", err
	}
	if err := s.ready(queuePrefix); err != nil {
		return "", err
	}
	id := newID()
	step := func(after ...int) map[string]any {
		return map[string]any{"count": 2, "cpu": 2000, "memoryRequestMb": 64, "estimatedMs": 5000, "after": after}
	}
	if err := s.submit(queuePrefix, id, work{Ms: 5000}, []map[string]any{step(), step(0)}); err != nil {
		return "", err
	}
	if s.awaitRun(id, 5*time.Second) < 0 {
		return "", fmt.Errorf("the job does not start")
	}
	if err := s.configure(manifest(2, other), 5*time.Second); err != nil {
		return "", err
	}
	if trouble {
		leader := s.leader()
		s.controllers[leader].kill(s)
		time.Sleep(500 * time.Millisecond)
		if err := s.controllers[leader].start(s); err != nil {
			return "", err
		}
	}
	disturbed := time.Now()
	// The first step ends 5 s after its start. From then on the turn of the second one has come.
	for until := time.Now().Add(10 * time.Second); s.where(id) >= 0 && time.Now().Before(until); {
		time.Sleep(10 * time.Millisecond)
		if s.startsOf(id) > 2 {
			return "", nil
		}
	}
	idleSince := time.Now()
	for time.Since(disturbed) < finishBound || time.Since(idleSince) < 2*contact {
		if s.where(id) >= 0 {
			if time.Since(idleSince) > contact {
				break
			}
			return "", nil
		}
		time.Sleep(10 * time.Millisecond)
	}
	if got := s.startsOf(id); got > 2 && s.where(id) >= 0 {
		return "", fmt.Errorf("the second step of job %s starts %v after the first has ended", id, time.Since(idleSince))
	}
	// Another job of the same size runs at once, so there is room.
	probe := newID()
	if err := s.submit(otherPrefix, probe, work{Ms: 100}, []map[string]any{{"count": 2, "cpu": 2000, "memoryRequestMb": 64, "estimatedMs": 100}}); err != nil {
		return "", err
	}
	if s.awaitRun(probe, 2*time.Second) < 0 {
		return "", fmt.Errorf("the workers run nothing")
	}
	return verdict(fmt.Sprintf("the second step of the accepted job %s has not started %.1f s after the first step ended and %.1f s after the last disruption; all workers are idle",
		id, time.Since(idleSince).Seconds(), time.Since(disturbed).Seconds())), nil
}

// renamedCase replaces the queue of a job by one of another name at the same place. The job must not be answered with 410.
func renamedCase(s *site, trouble bool) (verdict, error) {
	if err := s.configure(manifest(1, route(queueName, queuePrefix, 4)), 20*time.Second); err != nil {
		return "", err
	}
	if err := s.ready(queuePrefix); err != nil {
		return "", err
	}
	id := newID()
	if err := s.submit(queuePrefix, id, work{Ms: 8000}, []map[string]any{{"count": 1, "cpu": 2000, "memoryRequestMb": 64, "estimatedMs": 8000}}); err != nil {
		return "", err
	}
	name := queueName
	if trouble {
		name = "r-9n73hh2"
	}
	if err := s.configure(manifest(2, route(name, queuePrefix, 4)), 5*time.Second); err != nil {
		return "", err
	}
	time.Sleep(visible)
	gone := 0
	for range 10 {
		if s.call(http.MethodGet, s.entryAddr(0), queuePrefix+id, nil, time.Second).code == http.StatusGone {
			gone++
		}
		time.Sleep(200 * time.Millisecond)
	}
	if gone > 0 {
		return verdict(fmt.Sprintf("%d of 10 reads of the accepted job %s are answered 410", gone, id)), nil
	}
	return "", nil
}
