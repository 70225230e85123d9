package main

import (
	"sort"
	"time"
)

// entryRestart: an entry is stopped and started again while a job that it took waits for room.
func entryRestart(s *scene) error {
	var busy []*job
	for number, each := range s.workers {
		busy = append(busy, oneStep(1+number, secondQueue, work{Millis: 30000}, step{Count: 1, CPU: each.capacity.CPU, Memory: 64, EstimatedMs: 30000}))
	}
	sort.Slice(busy, func(i, j int) bool { return busy[i].steps[0].CPU > busy[j].steps[0].CPU })
	if err := s.submitRunning(busy...); err != nil {
		return err
	}
	waiting := oneStep(101, firstQueue, work{Millis: 4000}, step{Count: 1, CPU: 2000, Memory: 64, EstimatedMs: 4000})
	s.watch.submitted(waiting)
	ended := make(chan error, 1)
	go func() { ended <- s.submitBestEffort(s.entries[len(s.entries)-1], waiting) }()
	time.Sleep(time.Second)
	if s.trouble {
		if err := s.process(stoppedEntry).restart(restartPause); err != nil {
			return err
		}
	}
	if err := <-ended; err != nil {
		s.record.broken("LOST: the channel of a request that was sent 1 s before the SIGTERM has ended without an answer: %v", err)
	}
	return nil
}
