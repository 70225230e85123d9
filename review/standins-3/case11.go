package main

import "time"

// lostWorker: a worker is lost for good while jobs run there that require its label. Later jobs of the same queue could run at all
// other workers.
func lostWorker(s *scene) error {
	var bound, free []*job
	for number := range 8 {
		bound = append(bound, kept(1+number, firstQueue, work{Millis: 10000}, step{Count: 1, CPU: 2000, Memory: 64, EstimatedMs: 10000, Requirements: loneRack}))
	}
	for number := range 4 {
		free = append(free, kept(101+number, firstQueue, work{Millis: 200}, step{Count: 1, CPU: 2000, Memory: 64, EstimatedMs: 200}))
	}
	if err := s.submitRunning(bound...); err != nil {
		return err
	}
	if s.trouble {
		s.withLabel(loneRack).crash()
	}
	time.Sleep(20 * time.Second)
	if err := s.submitAll(free...); err != nil {
		return err
	}
	return s.judge(6*time.Second, free...)
}
