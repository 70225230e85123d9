package main

import "time"

// memoryOnly: the tasks of a job ask for memory and for no cores. Without the disruption they ask for a tenth of a core too.
func memoryOnly(s *scene) error {
	j := oneStep(1, firstQueue, work{Millis: 1000}, step{Count: 30, Memory: 30000, EstimatedMs: 1000})
	if !s.trouble {
		j.steps[0].CPU = 100
	}
	if err := s.submitAll(j); err != nil {
		return err
	}
	return s.judge(5*time.Second, j)
}
