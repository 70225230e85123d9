package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	clientDeadline = 1500 * time.Millisecond
	otherLabel     = "b" // of one worker only
)

// oddPathCase sends requests to all entries whose path is not UTF-8, and meanwhile reads the state of an accepted job at each entry in
// turn. It must be answered.
func oddPathCase(s *site, trouble bool) (verdict, error) {
	if err := s.configure(manifest(1, route(queueName, queuePrefix, 4)), 20*time.Second); err != nil {
		return "", err
	}
	if err := s.ready(queuePrefix); err != nil {
		return "", err
	}
	id := newID()
	if err := s.submit(queuePrefix, id, work{Ms: 500}, []map[string]any{{"count": 1, "cpu": 2000, "memoryRequestMb": 64, "estimatedMs": 500}}); err != nil {
		return "", err
	}
	odd := "/bopu901/0000000000000000"
	if trouble {
		odd = "/bopu901/%ff%fe"
	}
	until := time.Now().Add(finishBound)
	for i := range 2 * frontends { // two clients for each entry, half a deadline apart
		go func() {
			time.Sleep(time.Duration(i/frontends) * clientDeadline / 2)
			for time.Now().Before(until) {
				s.call(http.MethodGet, s.entryAddr(i), odd, nil, clientDeadline)
				time.Sleep(20 * time.Millisecond)
			}
		}()
	}
	time.Sleep(clientDeadline)
	good, bad := 0, 0
	for i := 0; time.Now().Before(until); i++ {
		if s.call(http.MethodGet, s.entryAddr(i), queuePrefix+id, nil, clientDeadline).code == http.StatusOK {
			good++
			time.Sleep(200 * time.Millisecond)
		} else {
			bad++
		}
	}
	if good == 0 {
		return verdict(fmt.Sprintf("none of %d reads of the accepted job %s in %v is answered with its state", bad, id, finishBound)), nil
	}
	return "", nil
}

// oddReportCase sends a status report that lacks fields to the agent of the only worker that a job may run on. The job must start.
func oddReportCase(s *site, trouble bool) (verdict, error) {
	if err := s.configure(manifest(1, route(queueName, queuePrefix, 4)), 20*time.Second); err != nil {
		return "", err
	}
	if err := s.ready(queuePrefix); err != nil {
		return "", err
	}
	last := s.workers[sides-1]
	if trouble {
		last.oddReport()
	}
	time.Sleep(contact)
	id := newID()
	if err := s.submit(queuePrefix, id, work{Ms: 500}, []map[string]any{{"count": 1, "cpu": 2000, "memoryRequestMb": 64, "estimatedMs": 500, "requirements": otherLabel}}); err != nil {
		return "", err
	}
	if s.awaitRun(id, finishBound) < 0 {
		return verdict(fmt.Sprintf("the accepted job %s has not started after %v, though worker %s is idle and reports itself ready", id, finishBound, last.id)), nil
	}
	return "", nil
}
