package main

import "time"

const (
	usualJobs  = 38
	poisonJobs = 2 // a twentieth of all
)

// workerOnProbation: two jobs fail by their own fault at the only worker that may run them. A long job runs there next, and a short one
// waits.
func workerOnProbation(s *scene) error {
	one := func(number int, does work, estimate int) *job {
		return oneStep(number, firstQueue, does, step{Count: 1, CPU: 2000, Memory: 64, EstimatedMs: estimate, Requirements: loneRack})
	}
	for number := range usualJobs {
		if err := s.submitAll(one(101+number, work{Millis: 50}, 50)); err != nil {
			return err
		}
		time.Sleep(50 * time.Millisecond)
	}
	if s.trouble {
		for number := range poisonJobs {
			if err := s.submitAll(one(201+number, work{Millis: 50, Fails: true}, 50)); err != nil {
				return err
			}
		}
	}
	time.Sleep(8 * time.Second)
	long, short := one(1, work{Millis: 40000}, 40000), one(2, work{Millis: 200}, 200)
	if err := s.submitRunning(long); err != nil {
		return err
	}
	if err := s.submitAll(short); err != nil {
		return err
	}
	return s.judge(5*time.Second, long, short)
}
