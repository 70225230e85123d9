package main

import (
	"fmt"
	"net/http"
	"time"
)

// darkTime is how long the crashed worker is down.
const darkTime = 4 * time.Second

// gpuCase crashes the only worker with GPUs and starts it again. Then a kept job is handed in that needs a GPU.
func gpuCase(s *site, trouble bool) (string, error) {
	if err := s.putManifest(manifest(3, mainRoute)); err != nil {
		return "", err
	}
	time.Sleep(4 * time.Second) // traffic starts after the machines
	if trouble {
		s.note("worker 0 crashes")
		s.workers[0].shut()
		time.Sleep(darkTime)
		if err := s.workers[0].boot(); err != nil {
			return "", err
		}
		s.note("worker 0 is back")
	}
	time.Sleep(5 * time.Second) // the worker has sent several status reports
	id := newID()
	body := `{"specification":"ms=200","steps":[{"count":1,"cpu":500,"memoryRequestMb":64,"gpu":1,"estimatedMs":200}]}`
	if got := s.client(http.MethodPost, mainHost, mainPrefix+id, body); got.status != http.StatusOK {
		return "", fmt.Errorf("the job is not accepted: %d", got.status)
	}
	s.note("the traffic has ended")
	return s.unstarted([]string{id}), nil
}
