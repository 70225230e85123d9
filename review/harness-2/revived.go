package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

// revivedCase lets a machine that took a best-effort job stand still for freezeTime. Meanwhile the job is cancelled through another entry.
func revivedCase(s *site, trouble bool) (string, error) {
	if err := s.open(manifest(3, mainRoute), mainHost, mainPrefix); err != nil {
		return "", err
	}
	time.Sleep(time.Second)
	frozen, err := s.followerMachine()
	if err != nil {
		return "", err
	}
	entryOf := func(i int) string { return fmt.Sprintf("%s:%d", s.frontendIP(i), s.ports.frontend) }
	other := (frozen + 1) % frontends
	id := newID()
	body := `{"specification":"ms=3000","bestEffort":true,"steps":[{"count":2,"cpu":500,"memoryRequestMb":64,"estimatedMs":3000}]}`
	answered := make(chan answer, 1)
	go func() {
		answered <- s.callFor(20*time.Second, http.MethodPost, entryOf(frozen), mainHost, mainPrefix+id, body)
	}()
	time.Sleep(500 * time.Millisecond)
	machine := []*process{s.entries[frozen], s.controllers[frozen]}
	if trouble {
		s.note("machine %d stands still", frozen)
		for _, each := range machine {
			each.signal(syscall.SIGSTOP)
		}
	}
	time.Sleep(200 * time.Millisecond)
	got := s.call(http.MethodDelete, entryOf(other), mainHost, mainPrefix+id, "")
	acknowledged := time.Now()
	s.note("client DELETE %s -> %d %s", id, got.status, got.body)
	time.Sleep(freezeTime - 200*time.Millisecond)
	if trouble {
		for _, each := range machine {
			each.signal(syscall.SIGCONT)
		}
		s.note("machine %d goes on", frozen)
	}
	time.Sleep(5 * time.Second)
	if got.status != http.StatusOK && got.status != http.StatusGone {
		return "", fmt.Errorf("the cancelling is not acknowledged: %d", got.status)
	}
	select {
	case final := <-answered:
		s.note("client POST %s -> %d %s", id, final.status, final.body)
	default:
		s.note("client POST %s is not answered yet", id)
	}
	late := 0
	for _, each := range s.workers {
		for _, start := range each.startsOf(id) {
			if start.at.Sub(acknowledged) > cancelBound {
				late++
				s.note("worker %d has started %s %.1f s after the cancelling was acknowledged", each.index, start.task, start.at.Sub(acknowledged).Seconds())
			}
		}
	}
	if late > 0 {
		return fmt.Sprintf("UNASKED: %d tasks are started later than %v after the job's cancelling was acknowledged with %d", late, cancelBound, got.status), nil
	}
	return "", nil
}
