package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	cancelTime = 3 * time.Second       // cancel_ms
	stopGrace  = 50 * time.Millisecond // stopGraceMs
	// contactTime is contactMs: for so long after the core was disturbed, no machine is in touch.
	contactTime = 3 * time.Second
	// cancelTries is how often a client sends a DELETE that got no clear answer.
	cancelTries = 20
)

// cancellation is the cancelling of a job and its acknowledgement.
type cancellation struct {
	job  *job
	code int       // 2xx or 410
	at   time.Time // zero without an acknowledgement
}

// cancelledJobs: the leading controller is killed while best-effort jobs run. Their clients cancel them at once, each at another entry than
// the one that took the job.
func cancelledJobs(s *scene) error {
	var list []*cancellation
	var jobs []*job
	for number := range 14 {
		j := oneStep(1+number, firstQueue, work{Millis: 15000}, step{Count: 2, CPU: 2000, Memory: 64, EstimatedMs: 15000})
		jobs, list = append(jobs, j), append(list, &cancellation{job: j})
		s.watch.submitted(j)
		go func() { _ = s.submitBestEffort(s.entries[number%len(s.entries)], j) }() // noted there
	}
	if err := s.awaitRunning(jobs...); err != nil {
		return err
	}
	leader := s.leader()
	if leader == nil {
		return errNoLeader
	}
	calm := time.Now()
	if s.trouble {
		leader.signal(syscall.SIGKILL)
		<-leader.exited
		calm = time.Now().Add(restartPause + contactTime)
	}
	var clients sync.WaitGroup
	for number, each := range list {
		clients.Add(1)
		go func() {
			defer clients.Done()
			s.cancel(each, s.entries[(number+3)%len(s.entries)])
		}()
	}
	if s.trouble {
		time.Sleep(restartPause)
		s.record.note("%s is started again", leader.name)
		if err := leader.start(); err != nil {
			return err
		}
	}
	clients.Wait()
	// From calm on no disturbance is near. A task of a cancelled job has to be gone after cancel_ms and stopGraceMs of such time.
	time.Sleep(time.Until(calm.Add(cancelTime + stopGrace + time.Second)))
	for _, each := range list {
		if !each.at.IsZero() && s.watch.runsNow(each.job) {
			s.record.broken("UNASKED: a task of %s is at work %.3f s after its cancelling was acknowledged with %d", each.job.id, time.Since(each.at).Seconds(), each.code)
		}
	}
	return nil
}

// cancel sends a DELETE until it is answered with 2xx or 410.
func (s *scene) cancel(c *cancellation, entry string) {
	for range cancelTries {
		code, answer, err := exchange(http.MethodDelete, "http://"+entry+c.job.queue+c.job.id, jobHost, nil, clientMs*time.Millisecond+callSlack,
			"X-Oleandertally-Deadline-Ms", fmt.Sprint(clientMs))
		s.record.note("client: DELETE %s%s: %d %s %v", c.job.queue, c.job.id, code, answer, err)
		if err == nil && (code/100 == 2 || code == http.StatusGone) {
			c.code, c.at = code, time.Now()
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}
