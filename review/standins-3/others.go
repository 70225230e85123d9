package main

import "time"

// others are findings beside the five cases, by the numbers under which they are played.
var others = map[int]func(*scene) error{
	101: largeJobs,
	102: longJobs,
	103: revivedJob,
}

// largeJobs: a large job comes whose tasks fill the memory of most workers and use little of their cores. Without the disruption its tasks
// ask for little memory, and one runs at each of these workers too.
func largeJobs(s *scene) error {
	large := oneStep(1, firstQueue, work{Millis: 40000}, step{Count: 8, CPU: 500, Memory: 28000, EstimatedMs: 40000, Requirements: "a"})
	if !s.trouble {
		large.steps[0].Memory, large.steps[0].AntiAffinity = 64, 1
	}
	usual := oneStep(2, firstQueue, work{Millis: 40000}, step{Count: 3, CPU: 12000, Memory: 64, EstimatedMs: 40000, Requirements: "b", AntiAffinity: 1})
	if err := s.submitRunning(large, usual); err != nil {
		return err
	}
	var small []*job
	for number := range 4 {
		small = append(small, oneStep(101+number, secondQueue, work{Millis: 200}, step{Count: 1, CPU: 2000, Memory: 8000, EstimatedMs: 200}))
	}
	if err := s.submitAll(small...); err != nil {
		return err
	}
	return s.judge(6*time.Second, small...)
}

// longFactor is how many times longer than estimated the tasks of a long job take.
const longFactor = 24

// longJobs: one job in twenty takes longFactor times as long as it was estimated.
func longJobs(s *scene) error {
	for number := range 400 {
		does := work{Millis: 60}
		if s.trouble && number%20 == 7 {
			does.Millis *= longFactor
		}
		if err := s.submitAll(oneStep(1+number, firstQueue, does, step{Count: 8, CPU: 1600, Memory: 64, EstimatedMs: 60})); err != nil {
			return err
		}
		time.Sleep(5 * time.Millisecond)
	}
	return s.judge(20 * time.Second)
}
