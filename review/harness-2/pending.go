package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// pendingCase makes one worker unhealthy: it refuses every start. Kept jobs that need its label have not begun then.
func pendingCase(s *site, trouble bool) (string, error) {
	if err := s.open(manifest(3, mainRoute), mainHost, mainPrefix); err != nil {
		return "", err
	}
	rare := s.workers[workers-1]
	if trouble {
		s.note("worker %d refuses all starts", rare.index)
		rare.unhealthy.Store(true)
	}
	const jobs = 4
	var accepted []string
	for range jobs {
		id := newID()
		body := fmt.Sprintf(`{"specification":"ms=60000","steps":[{"count":1,"cpu":500,"memoryRequestMb":64,"estimatedMs":60000,"requirements":%q}]}`, rareKind)
		if s.client(http.MethodPost, mainHost, mainPrefix+id, body).status == http.StatusOK {
			accepted = append(accepted, id)
		}
	}
	time.Sleep(visibleBound + 2*time.Second + 500*time.Millisecond)
	for range 6 {
		got := s.client(http.MethodGet, mainHost, mainPrefix, "")
		var count struct{ Pending *int }
		if err := json.Unmarshal([]byte(got.body), &count); err != nil || count.Pending == nil {
			continue
		}
		notBegun := 0
		for _, id := range accepted {
			if len(rare.startsOf(id)) == 0 {
				notBegun++
			}
		}
		s.note("%d jobs have not begun, pending is %d", notBegun, *count.Pending)
		if notBegun > 0 && 2**count.Pending < notBegun {
			return fmt.Sprintf("MIXED: %d jobs are accepted and have not begun, and the queue gives %d as pending", notBegun, *count.Pending), nil
		}
		time.Sleep(time.Second)
	}
	if len(accepted) == 0 {
		return "", fmt.Errorf("no job is accepted: %d", http.StatusOK)
	}
	return "", nil
}
