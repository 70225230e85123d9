package main

import (
	"fmt"
	"net/http"
	"time"
)

// largeCase hands in kept jobs of the usual size and, as the disruption, a burst of large ones. Each worker has room for either.
func largeCase(s *site, trouble bool) (string, error) {
	if err := s.open(manifest(3, mainRoute), mainHost, mainPrefix); err != nil {
		return "", err
	}
	var accepted []string
	submit := func(cores int) {
		id := newID()
		body := fmt.Sprintf(`{"specification":"ms=500","steps":[{"count":1,"cpu":%d,"memoryRequestMb":64,"estimatedMs":500}]}`, cores*1000)
		if s.client(http.MethodPost, mainHost, mainPrefix+id, body).status == http.StatusOK {
			accepted = append(accepted, id)
		}
	}
	const usualCores, largeCores = 6, 36
	for range 5 {
		submit(usualCores)
		time.Sleep(200 * time.Millisecond)
		if trouble {
			submit(largeCores)
			submit(largeCores)
		}
	}
	s.note("the traffic has ended, %d kept jobs are accepted", len(accepted))
	if len(accepted) == 0 {
		return "", fmt.Errorf("no kept job is accepted")
	}
	return s.unstarted(accepted), nil
}
