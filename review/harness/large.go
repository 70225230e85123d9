package main

import (
	"fmt"
	"net/http"
	"time"
)

// largeCase submits a job whose tasks need half of a worker of 64 cores. Its tasks must start: the workers are idle.
func largeCase(s *site, trouble bool) (verdict, error) {
	if err := s.configure(manifest(1, route(queueName, queuePrefix, 4)), 20*time.Second); err != nil {
		return "", err
	}
	if err := s.ready(queuePrefix); err != nil {
		return "", err
	}
	cores := 6_200
	if trouble {
		cores = 32_000
	}
	id := newID()
	if err := s.submit(queuePrefix, id, work{Ms: 760}, []map[string]any{{"count": 1, "cpu": cores, "memoryRequestMb": 64, "estimatedMs": 760}}); err != nil {
		return "", err
	}
	for until := time.Now().Add(2 * finishBound); time.Now().Before(until); time.Sleep(500 * time.Millisecond) {
		if s.call(http.MethodGet, s.entryAddr(0), queuePrefix+id, nil, clientDeadline).state() == "completed" {
			return "", nil
		}
	}
	if s.startsOf(id) > 0 {
		return "", fmt.Errorf("job %s has started, but has not ended", id)
	}
	return verdict(fmt.Sprintf("no task of the accepted job %s has started in %v, though each needs %d of the %d thousandths of a core of each of %d idle workers",
		id, 2*finishBound, cores, workerCores, sides)), nil
}
