package main

import (
	"fmt"
	"time"
)

// clockCase lets the time of day of a worker's machine jump ahead while the worker starts again, and back before it starts once more. Its last
// life then says that it began before the one before. A job that only this worker may run must start.
func clockCase(s *site, trouble bool) (verdict, error) {
	if err := s.configure(manifest(1, route(queueName, queuePrefix, 4)), 20*time.Second); err != nil {
		return "", err
	}
	if err := s.ready(queuePrefix); err != nil {
		return "", err
	}
	last, ahead := s.workers[sides-1], time.Duration(0)
	if trouble {
		ahead = 2400 * time.Millisecond
	}
	for _, jump := range []time.Duration{ahead, 0} {
		last.crash()
		time.Sleep(500 * time.Millisecond)
		if err := last.boot(time.Now().Add(jump)); err != nil {
			return "", err
		}
		time.Sleep(time.Second)
	}
	time.Sleep(2 * contact)
	id := newID()
	if err := s.submit(queuePrefix, id, work{Ms: 500}, []map[string]any{{"count": 1, "cpu": 2000, "memoryRequestMb": 64, "estimatedMs": 500, "requirements": otherLabel}}); err != nil {
		return "", err
	}
	if s.awaitRun(id, finishBound) < 0 {
		return verdict(fmt.Sprintf("the accepted job %s has not started after %v, though worker %s is idle and reports itself ready", id, finishBound, last.id)), nil
	}
	return "", nil
}

// zeroCase submits tasks that ask for no resources. Other jobs must start beside them.
func zeroCase(s *site, trouble bool) (verdict, error) {
	if err := s.configure(manifest(1, route(queueName, queuePrefix, 4)), 20*time.Second); err != nil {
		return "", err
	}
	if err := s.ready(queuePrefix); err != nil {
		return "", err
	}
	step := map[string]any{"count": sides, "estimatedMs": 30_000}
	if !trouble {
		step["cpu"], step["memoryRequestMb"] = 1000, 64
	}
	if err := s.submit(queuePrefix, newID(), work{Ms: 30_000}, []map[string]any{step}); err != nil {
		return "", err
	}
	time.Sleep(time.Second)
	id := newID()
	if err := s.submit(queuePrefix, id, work{Ms: 500}, []map[string]any{{"count": 1, "cpu": 2000, "memoryRequestMb": 64, "estimatedMs": 500}}); err != nil {
		return "", err
	}
	if s.awaitRun(id, finishBound+contact) < 0 {
		return verdict(fmt.Sprintf("the accepted job %s has not started after %v, though nothing uses a core of the workers", id, finishBound+contact)), nil
	}
	return "", nil
}
