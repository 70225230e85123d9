package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	manyJobs  = 3
	manyWidth = 240 // tasks of a job
	manySpan  = 3 * time.Second
	startSpan = 250 * time.Millisecond // within which all of them must have started
	maxTries  = 5
)

// killAgentAmidEnds kills the agent of a worker at which 720 tasks are about to end, and starts it again after they have ended and before
// the worker's lease lapses. It returns the jobs. They are submitted delay after a status report of the worker, which decides whether the
// next report is due while the agent is down or later.
func killAgentAmidEnds(s *site, delay time.Duration, trouble bool) ([]string, error) {
	if err := s.configure(manifest(1, route(queueName, queuePrefix, 4)), 20*time.Second); err != nil {
		return nil, err
	}
	if err := s.ready(queuePrefix); err != nil {
		return nil, err
	}
	last, agent := s.workers[sides-1], s.agents[sides-1]
	var ids []string
	for try := 0; last.count() < manyJobs*manyWidth; try++ {
		if try == maxTries {
			return nil, fmt.Errorf("the tasks never start at the same time")
		}
		if try > 0 {
			time.Sleep(2 * manySpan) // the jobs of the last try end
		}
		last.awaitReport()
		time.Sleep(delay)
		var err error
		if ids, err = submitMany(s); err != nil {
			return nil, err
		}
		for until := time.Now().Add(startSpan); last.count() < manyJobs*manyWidth && time.Now().Before(until); {
			time.Sleep(time.Millisecond)
		}
	}
	time.Sleep(manySpan - 300*time.Millisecond)
	if trouble {
		agent.kill(s)
		time.Sleep(350 * time.Millisecond)
		if err := agent.start(s); err != nil {
			return nil, err
		}
	}
	return ids, nil
}

// submitMany submits the jobs. The tasks of their first steps all run on the last worker; the second step is a single task.
func submitMany(s *site) ([]string, error) {
	first := map[string]any{"count": manyWidth, "cpu": 50, "memoryRequestMb": 16, "estimatedMs": manySpan.Milliseconds(), "requirements": otherLabel}
	second := map[string]any{"count": 1, "cpu": 1000, "memoryRequestMb": 64, "estimatedMs": manySpan.Milliseconds(), "after": []int{0}}
	var ids []string
	for range manyJobs {
		time.Sleep(25 * time.Millisecond)
		id := newID()
		if err := s.submit(queuePrefix, id, work{Ms: int(manySpan.Milliseconds())}, []map[string]any{first, second}); err != nil {
			return nil, err
		}
		ids = append(ids, id)
	}
	return ids, nil
}

// againCase checks that no task is started again after it has ended as done and that end has been taken note of.
func againCase(s *site, trouble bool) (verdict, error) {
	if _, err := killAgentAmidEnds(s, 0, trouble); err != nil {
		return "", err
	}
	time.Sleep(finishBound)
	s.mutex.Lock()
	again := s.twice
	s.mutex.Unlock()
	for _, each := range again {
		s.note("TWICE: %s", each)
	}
	if len(again) > 0 {
		return verdict(fmt.Sprintf("%d of %d tasks were run again; for example: %s", len(again), manyJobs*manyWidth, again[0])), nil
	}
	return "", nil
}

// endsCase checks that the jobs are completed.
func endsCase(s *site, trouble bool) (verdict, error) {
	ids, err := killAgentAmidEnds(s, 300*time.Millisecond, trouble)
	if err != nil {
		return "", err
	}
	time.Sleep(finishBound)
	// For more than 3 s, a job that isn't completed must have a task at work.
	idleSince := time.Now()
	for until := time.Now().Add(2 * contact); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		for _, w := range s.workers {
			if w.count() > 0 {
				idleSince = time.Now()
			}
		}
	}
	open, waiting := 0, 0
	for _, id := range ids {
		if s.call(http.MethodGet, s.entryAddr(0), queuePrefix+id, nil, clientDeadline).state() != "completed" {
			open++
			if s.ended(id, manyWidth) && !s.started(id+".0.1.0") {
				waiting++
			}
		}
	}
	if idle := time.Since(idleSince); waiting > 0 && idle > contact {
		return verdict(fmt.Sprintf("%d of %d accepted jobs are not completed; in %d of these all tasks of the first step have ended as done and the second step has not started; "+
			"for %.1f s nothing has been at work on any worker, %.0f s after the last disruption", open, manyJobs, waiting, idle.Seconds(), (finishBound + 2*contact).Seconds())), nil
	}
	if open > 0 {
		return "", fmt.Errorf("%d jobs are not completed, and none of them waits for its second step", open)
	}
	return "", nil
}
