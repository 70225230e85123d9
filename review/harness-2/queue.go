package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	rareJobs  = 4
	burstJobs = 60
)

// queueCase loses the only worker of a kind for good. A few kept jobs that need this kind wait, as they must. Then a burst of kept jobs
// comes by the same route that any other worker can run.
func queueCase(s *site, trouble bool) (string, error) {
	if err := s.open(manifest(3, mainRoute), mainHost, mainPrefix); err != nil {
		return "", err
	}
	time.Sleep(time.Second)
	if trouble {
		s.note("worker %d is lost for good", workers-1)
		s.workers[workers-1].shut()
	}
	time.Sleep(2 * time.Second)
	for range rareJobs {
		id := newID()
		body := fmt.Sprintf(`{"specification":"ms=200","steps":[{"count":1,"cpu":500,"memoryRequestMb":64,"estimatedMs":200,"requirements":%q}]}`, rareKind)
		s.client(http.MethodPost, mainHost, mainPrefix+id, body)
	}
	time.Sleep(time.Second)
	var clients sync.WaitGroup
	var mutex sync.Mutex
	var accepted []string
	for range burstJobs {
		clients.Go(func() {
			id := newID()
			body := `{"specification":"ms=1000","steps":[{"count":1,"cpu":8000,"memoryRequestMb":64,"estimatedMs":1000}]}`
			if s.client(http.MethodPost, mainHost, mainPrefix+id, body).status == http.StatusOK {
				mutex.Lock()
				accepted = append(accepted, id)
				mutex.Unlock()
			}
		})
	}
	clients.Wait()
	s.note("the traffic has ended, %d jobs of the burst are accepted", len(accepted))
	if len(accepted) == 0 {
		return "", fmt.Errorf("no job of the burst is accepted")
	}
	return s.unstarted(accepted), nil
}
