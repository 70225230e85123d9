package main

import (
	"net/http"
	"sort"
	"time"
)

const (
	longClientMs  = 20000 // how long this case's client waits, no longer than the route's timeout
	stoppedEntry  = "frontend-cartago-2-entry"
	waitingMillis = 4000
)

// entryRestart: an entry is stopped and started again while a job that it took waits for room.
func entryRestart(s *scene) error {
	var busy []*job
	for number, each := range s.workers {
		busy = append(busy, kept(1+number, secondQueue, work{Millis: 30000}, step{Count: 1, CPU: each.capacity.CPU, Memory: 64, EstimatedMs: 30000}))
	}
	sort.Slice(busy, func(i, j int) bool { return busy[i].steps[0].CPU > busy[j].steps[0].CPU })
	if err := s.submitRunning(busy...); err != nil {
		return err
	}
	waiting := kept(101, firstQueue, work{Millis: waitingMillis}, step{Count: 1, CPU: 2000, Memory: 64, EstimatedMs: waitingMillis})
	s.watch.submitted(waiting)
	ended := make(chan error, 1)
	go func() {
		began := time.Now()
		code, answer, err := exchange(http.MethodPost, "http://"+s.entries[len(s.entries)-1]+firstQueue+waiting.id, jobHost,
			map[string]any{"specification": waiting.does.encode(), "steps": waiting.steps, "bestEffort": true},
			longClientMs*time.Millisecond+callSlack, "X-Oleandertally-Deadline-Ms", "20000")
		s.record.note("client: POST %s%s, best effort: after %.3f s: %d %s %v", firstQueue, waiting.id, time.Since(began).Seconds(), code, answer, err)
		ended <- err
	}()
	time.Sleep(time.Second)
	if s.trouble {
		for _, each := range s.processes {
			if each.name != stoppedEntry {
				continue
			}
			if err := each.restart(restartPause); err != nil {
				return err
			}
		}
	}
	if err := <-ended; err != nil {
		s.record.broken("LOST: the channel of a request that was sent 1 s before the SIGTERM has ended without an answer: %v", err)
	}
	return nil
}
