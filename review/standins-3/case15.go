package main

import "time"

// largeJobs: a large job comes whose tasks fill the memory of most workers and use little of their cores.
func largeJobs(s *scene) error {
	large := kept(1, firstQueue, work{Millis: 40000}, step{Count: 8, CPU: 500, Memory: 28000, EstimatedMs: 40000, Requirements: "a"})
	if !s.trouble {
		large.steps[0].Memory = 64
		large.steps[0].AntiAffinity = 1
	}
	usual := kept(2, firstQueue, work{Millis: 40000}, step{Count: 3, CPU: 12000, Memory: 64, EstimatedMs: 40000, Requirements: "b", AntiAffinity: 1})
	if err := s.submitRunning(large, usual); err != nil {
		return err
	}
	var small []*job
	for number := range 4 {
		small = append(small, kept(101+number, secondQueue, work{Millis: 200}, step{Count: 1, CPU: 2000, Memory: 8000, EstimatedMs: 200}))
	}
	if err := s.submitAll(small...); err != nil {
		return err
	}
	return s.judge(6*time.Second, small...)
}
