package main

import (
	"net/http"
	"syscall"
	"time"
)

const (
	freezeTime = 5 * time.Second
	// electionTime is longer than it takes to elect another leader.
	electionTime = 1500 * time.Millisecond
)

// revivedJob: the machine of an entry stands still, and the leading controller is killed. Meanwhile a best-effort job that the entry took
// is cancelled through another entry.
func revivedJob(s *scene) error {
	j := oneStep(1, firstQueue, work{Millis: 10000}, step{Count: 2, CPU: 2000, Memory: 64, EstimatedMs: 10000})
	s.watch.submitted(j)
	last := len(s.entries) - 1
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		s.submitBestEffort(s.entries[last], j)
	}()
	if err := s.awaitRunning(j); err != nil {
		return err
	}
	entry, leader := s.process(stoppedEntry), s.leader()
	if leader == nil {
		return errNoLeader
	}
	var thawed, disturbed time.Time
	if s.trouble {
		entry.signal(syscall.SIGSTOP)
		thawed = time.Now().Add(freezeTime)
		leader.signal(syscall.SIGKILL)
		<-leader.exited
		time.Sleep(restartPause)
		s.record.note("%s is started again", leader.name)
		if err := leader.start(); err != nil {
			return err
		}
		disturbed = time.Now()
		time.Sleep(electionTime - restartPause)
	}
	code, _, err := s.client.call(http.MethodDelete, j.queue+j.id, nil)
	if err != nil || code/100 != 2 && code != http.StatusGone {
		return errNotCancelled
	}
	cancelled := time.Now()
	if s.trouble {
		time.Sleep(time.Until(thawed))
		entry.signal(syscall.SIGCONT)
	}
	<-answered
	for _, at := range s.watch.startsOf(j) {
		if late := at.Sub(cancelled); late > cancelTime && at.Sub(disturbed) > contactTime {
			s.record.broken("UNASKED: a task of %s is started %.3f s after its cancelling was acknowledged with %d", j.id, late.Seconds(), code)
		}
	}
	return nil
}
