package main

import (
	"sort"
	"time"
)

// others are findings beside the five cases, by the numbers under which they are played.
var others = map[int]func(*scene) error{
	101: pendingCount,
	102: workerOnProbation,
	103: memoryOnly,
	104: longJobs,
}

// pendingAge is visible_ms and 2 s.
const pendingAge = 5 * time.Second

// pendingCount: one worker sheds all starts while the others are full.
func pendingCount(s *scene) error {
	w := s.withLabel(loneRack)
	var busy, waiting []*job
	for number, each := range s.workers {
		if each != w {
			busy = append(busy, kept(1+number, secondQueue, work{Millis: 30000}, step{Count: 1, CPU: each.capacity.CPU, Memory: 64, EstimatedMs: 30000}))
		}
	}
	sort.Slice(busy, func(i, j int) bool { return busy[i].steps[0].CPU > busy[j].steps[0].CPU })
	if s.trouble {
		w.shed()
	}
	if err := s.submitRunning(busy...); err != nil {
		return err
	}
	for number := range 4 {
		waiting = append(waiting, kept(101+number, firstQueue, work{Millis: 200}, step{Count: 1, CPU: 2000, Memory: 64, EstimatedMs: 200}))
	}
	if err := s.submitAll(waiting...); err != nil {
		return err
	}
	for range 10 {
		time.Sleep(time.Second)
		s.judgePending(firstQueue, waiting)
		s.client.state(waiting[0])
	}
	return nil
}

// judgePending asks each entry for the number of pending jobs, and notes MIXED if it is under half of the jobs that were accepted over
// pendingAge before and have not begun.
func (s *scene) judgePending(queue string, jobs []*job) {
	waiting := 0
	for _, each := range jobs {
		if !s.watch.hasBegun(each) && time.Since(s.watch.acceptedAt(each)) > pendingAge {
			waiting++
		}
	}
	for range s.client.entries {
		count, ok := s.client.pending(queue)
		if ok && 2*count < waiting {
			s.record.broken("MIXED: pending is %d, and %d jobs were accepted over %v before and have not begun", count, waiting, pendingAge)
			return
		}
	}
}

// workerOnProbation: two jobs fail by their own fault at the only worker with a label. A long job runs there next, and a short one waits.
func workerOnProbation(s *scene) error {
	one := func(number int, does work, estimate int) *job {
		return kept(number, firstQueue, does, step{Count: 1, CPU: 2000, Memory: 64, EstimatedMs: estimate, Requirements: loneRack})
	}
	if s.trouble {
		for number := range 2 {
			if err := s.submitAll(one(101+number, work{Millis: 50, Fails: true}, 50)); err != nil {
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
	return s.judge(5*time.Second, short)
}

// memoryOnly: the tasks of a job ask for memory and for no cores; without the disruption they ask for a tenth of a core too.
func memoryOnly(s *scene) error {
	j := kept(1, firstQueue, work{Millis: 1000}, step{Count: 30, Memory: 30000, EstimatedMs: 1000})
	if !s.trouble {
		j.steps[0].CPU = 100
	}
	if err := s.submitAll(j); err != nil {
		return err
	}
	return s.judge(5*time.Second, j)
}

// longFactor is how many times longer than usual the tasks of a long job take.
const longFactor = 24

// longJobs: one job in twenty takes longFactor times as long as it was estimated.
func longJobs(s *scene) error {
	for number := range 400 {
		does := work{Millis: 60}
		if s.trouble && number%20 == 7 {
			does.Millis *= longFactor
		}
		if err := s.submitAll(kept(1+number, firstQueue, does, step{Count: 8, CPU: 1600, Memory: 64, EstimatedMs: 60})); err != nil {
			return err
		}
		time.Sleep(5 * time.Millisecond)
	}
	return s.judge(20 * time.Second)
}
