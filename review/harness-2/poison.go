package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	ordinaryJobs  = 6000
	ordinaryEvery = 5 * time.Millisecond
	poisonEvery   = 20 // with this number of ordinary jobs comes one that can never be done
	poisonTasks   = 270
	chainJobs     = 20
)

// poisonCase mixes jobs that can never be done into the traffic: each of their tasks needs more memory than any worker has. Then one worker is
// replaced. The ordinary jobs that are kept must end.
func poisonCase(s *site, trouble bool) (string, error) {
	if err := s.open(manifest(3, mainRoute), mainHost, mainPrefix); err != nil {
		return "", err
	}
	var clients sync.WaitGroup
	var mutex sync.Mutex
	var accepted []string
	submit := func(body string, kept bool) {
		id := newID()
		if s.client(http.MethodPost, mainHost, mainPrefix+id, body).status == http.StatusOK && kept {
			mutex.Lock()
			accepted = append(accepted, id)
			mutex.Unlock()
		}
	}
	ordinary := `{"specification":"ms=170","bestEffort":%v,"steps":[{"count":2,"cpu":1600,"memoryRequestMb":64,"estimatedMs":170}]}`
	chain := `{"specification":"ms=4000","steps":[{"count":1,"cpu":1600,"memoryRequestMb":64,"estimatedMs":4000},{"count":1,"cpu":1600,"memoryRequestMb":64,"estimatedMs":4000,"after":[0]}]}`
	poison := fmt.Sprintf(`{"specification":"ms=170","steps":[{"count":%d,"cpu":100,"memoryRequestMb":%d,"estimatedMs":170}]}`, poisonTasks, 2*s.size.memory)
	for i := range ordinaryJobs {
		clients.Go(func() { submit(fmt.Sprintf(ordinary, true), false) })
		if trouble && i%poisonEvery == 0 {
			clients.Go(func() { submit(poison, false) })
		}
		time.Sleep(ordinaryEvery)
	}
	clients.Wait()
	accepted = nil // these have ended long before the check
	for range chainJobs {
		submit(chain, true)
	}
	s.note("%d kept jobs of two steps are accepted", len(accepted))
	if len(accepted) == 0 {
		return "", fmt.Errorf("no kept job is accepted")
	}
	if trouble {
		s.note("worker 4 is replaced")
		if err := s.workers[4].replace(); err != nil {
			return "", err
		}
		s.note("worker 4 is back")
	}
	for range 20 {
		clients.Go(func() { submit(fmt.Sprintf(ordinary, false), true) })
		time.Sleep(200 * time.Millisecond)
	}
	clients.Wait()
	s.note("the traffic has ended, %d kept jobs are accepted", len(accepted))
	time.Sleep(finishBound)
	return s.unanswered(accepted), nil
}

// unanswered checks LOST at the end of the traffic: each accepted job is known and answered in time, and none has nothing running for
// idleJobsBound although there is room for it.
func (s *site) unanswered(accepted []string) string {
	const wait = 10 * time.Second
	var open []string
	var clients sync.WaitGroup
	var mutex sync.Mutex
	for _, id := range accepted {
		clients.Go(func() {
			for until := time.Now().Add(wait); time.Now().Before(until); time.Sleep(300 * time.Millisecond) {
				if state, got := s.state(mainHost, mainPrefix+id); got.status == http.StatusOK && state == "completed" {
					return
				}
			}
			mutex.Lock()
			open = append(open, id)
			mutex.Unlock()
		})
	}
	clients.Wait()
	bad := 0
	for _, id := range open {
		if s.lastStart(id).Before(time.Now().Add(-idleJobsBound)) {
			bad++
		}
	}
	if bad == 0 {
		return ""
	}
	return fmt.Sprintf("LOST: %d of %d accepted jobs have not ended %v after the end of the traffic, no answer in %v more says that they have, and nothing of them runs",
		bad, len(accepted), finishBound, wait)
}

// lastStart returns when a task of the job was last begun, or the zero time.
func (s *site) lastStart(job string) time.Time {
	var last time.Time
	for _, each := range s.workers {
		for _, start := range each.startsOf(job) {
			if start.at.After(last) {
				last = start.at
			}
		}
	}
	return last
}
