package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	mainHost   = "nony24.example"
	mainPrefix = "/lohu930/"
)

var mainRoute = route{"r-3hwrr6x", mainHost, mainPrefix}

// restartDelay is how long after the end of a process the platform starts it again.
const restartDelay = 300 * time.Millisecond

// restartedCase stops one agent with SIGTERM and starts it again, while clients hand in kept jobs that need a label of its worker.
func restartedCase(s *site, trouble bool) (string, error) {
	if err := s.open(manifest(3, mainRoute), mainHost, mainPrefix); err != nil {
		return "", err
	}
	var clients sync.WaitGroup
	var mutex sync.Mutex
	var accepted []string
	traffic := time.Now().Add(5 * time.Second)
	clients.Go(func() {
		for time.Now().Before(traffic) {
			id := newID()
			body := fmt.Sprintf(`{"specification":"ms=200","steps":[{"count":1,"cpu":500,"memoryRequestMb":64,"estimatedMs":200,"requirements":%q}]}`, rareKind)
			clients.Go(func() {
				if s.client(http.MethodPost, mainHost, mainPrefix+id, body).status == http.StatusOK {
					mutex.Lock()
					accepted = append(accepted, id)
					mutex.Unlock()
				}
			})
			time.Sleep(50 * time.Millisecond)
		}
	})
	clients.Go(func() { // the other users of the service
		for time.Now().Before(traffic) {
			clients.Go(func() {
				s.client(http.MethodPost, mainHost, mainPrefix+newID(), `{"specification":"ms=50","bestEffort":true,"steps":[{"count":2,"cpu":1600,"memoryRequestMb":64,"estimatedMs":50}]}`)
			})
			time.Sleep(50 * time.Millisecond)
		}
	})
	time.Sleep(time.Second)
	if trouble {
		agent := s.agents[workers-1]
		s.note("SIGTERM to %s", agent.name)
		agent.signal(syscall.SIGTERM)
		if !agent.wait(6 * time.Second) {
			agent.kill()
		}
		s.note("%s has ended", agent.name)
		time.Sleep(restartDelay)
		if err := agent.start(); err != nil {
			return "", err
		}
		s.note("%s is started again", agent.name)
	}
	clients.Wait()
	s.note("the traffic has ended, %d kept jobs are accepted", len(accepted))
	if len(accepted) == 0 {
		return "", fmt.Errorf("no kept job is accepted")
	}
	return s.unstarted(accepted), nil
}

// unstarted checks LOST at the end of the traffic: after finishBound no accepted job may have nothing running for idleJobsBound while there
// is room for it. It returns the jobs for which that is broken.
func (s *site) unstarted(accepted []string) string {
	time.Sleep(finishBound)
	for begun := time.Now(); time.Since(begun) < idleJobsBound+time.Second; time.Sleep(10 * time.Millisecond) {
		for _, each := range s.workers {
			if !each.idle() {
				begun = time.Now() // something still runs
			}
		}
	}
	open := 0
	for _, id := range accepted {
		if state, got := s.state(mainHost, mainPrefix+id); state != "completed" {
			open++
			s.note("job %s is shown as %q (%d)", id, state, got.status)
		}
	}
	if open == 0 {
		return ""
	}
	return fmt.Sprintf("LOST: %d of %d accepted jobs have nothing running for %v, %v after the end of the traffic, and every worker is idle",
		open, len(accepted), idleJobsBound+time.Second, finishBound)
}
