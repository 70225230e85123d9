package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	trafficSpan     = 24 * time.Second
	trafficInterval = 150 * time.Millisecond
	poisonAfter     = 2 * time.Second
)

// blockedCase sends small jobs at a steady rate. One job among them can never be done, since its task asks for more memory than any worker
// has. All the others must run.
func blockedCase(s *site, trouble bool) (verdict, error) {
	if err := s.configure(manifest(1, route(queueName, queuePrefix, 4)), 20*time.Second); err != nil {
		return "", err
	}
	if err := s.ready(queuePrefix); err != nil {
		return "", err
	}
	small := map[string]any{"count": 2, "cpu": 2000, "memoryRequestMb": 64, "estimatedMs": 300}
	poison := map[string]any{"count": 1, "cpu": 1000, "memoryRequestMb": 2 * workerMemory, "estimatedMs": 300}
	var ids []string
	began, poisoned := time.Now(), false
	for time.Since(began) < trafficSpan {
		if trouble && !poisoned && time.Since(began) > poisonAfter {
			poisoned = true
			if err := s.submit(queuePrefix, newID(), work{Ms: 300}, []map[string]any{poison}); err != nil {
				return "", err
			}
		}
		id := newID()
		if err := s.submit(queuePrefix, id, work{Ms: 300}, []map[string]any{small}); err != nil {
			return "", err
		}
		ids = append(ids, id)
		time.Sleep(trafficInterval)
	}
	time.Sleep(finishBound)
	var waiting []string
	for _, id := range ids {
		if s.startsOf(id) == 0 {
			waiting = append(waiting, id)
		}
	}
	if len(waiting) == 0 {
		return "", nil
	}
	// For longer than 3 s, none of them has a task at work, and neither has any other job.
	for until := time.Now().Add(2 * contact); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		for _, w := range s.workers {
			if w.count() > 0 {
				return "", fmt.Errorf("a worker is still at work")
			}
		}
	}
	for _, id := range waiting[:min(len(waiting), 5)] {
		s.call(http.MethodGet, s.entryAddr(0), queuePrefix+id, nil, clientDeadline)
	}
	return verdict(fmt.Sprintf("%d of %d accepted jobs have not started a task %v after the end of the traffic; all workers are idle",
		len(waiting), len(ids), finishBound+2*contact)), nil
}
