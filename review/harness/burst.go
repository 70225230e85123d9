package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	burstRounds = 3
	burstJobs   = 12
	burstWidth  = 270 // tasks of a job
)

// burstCase submits jobs of many short tasks: some at once, several times, or one after the other. The workers have room for all of them at
// once. No task may be started again after it has ended as done.
func burstCase(s *site, trouble bool) (verdict, error) {
	if err := s.configure(manifest(1, route(queueName, queuePrefix, 4)), 20*time.Second); err != nil {
		return "", err
	}
	if err := s.ready(queuePrefix); err != nil {
		return "", err
	}
	step := map[string]any{"count": burstWidth, "cpu": 50, "memoryRequestMb": 16, "estimatedMs": 51}
	play := func() {
		id := newID()
		if s.submit(queuePrefix, id, work{Ms: 51}, []map[string]any{step}) != nil {
			return
		}
		for until := time.Now().Add(15 * time.Second); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
			if s.call(http.MethodGet, s.entryAddr(0), queuePrefix+id, nil, clientDeadline).state() == "completed" {
				return
			}
		}
	}
	for range burstRounds {
		var group sync.WaitGroup
		for range burstJobs {
			if !trouble {
				play()
				continue
			}
			group.Go(play)
		}
		group.Wait()
	}
	time.Sleep(2 * time.Second)
	s.mutex.Lock()
	again, jobs := s.twice, burstRounds*burstJobs
	s.mutex.Unlock()
	for _, each := range again {
		s.note("TWICE: %s", each)
	}
	if len(again) > 0 {
		return verdict(fmt.Sprintf("%d tasks of %d jobs were run again; for example: %s", len(again), jobs, again[0])), nil
	}
	return "", nil
}
