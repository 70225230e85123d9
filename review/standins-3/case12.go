package main

import "time"

// oddReports: each agent gets one status report of another writer, in which a field is missing.
func oddReports(s *scene) error {
	first := oneStep(1, firstQueue, work{Millis: 4000}, step{Count: 8, CPU: 2000, Memory: 64, EstimatedMs: 4000})
	if err := s.submitRunning(first); err != nil {
		return err
	}
	if s.trouble {
		for _, w := range s.workers {
			odd := w.status()
			odd["address"], odd["born"] = "127.0.0.1:9", time.Now().UnixMilli()
			delete(odd, "slots")
			s.record.note("another writer: PUT /-/instances/i-0dd0dd00 to the agent beside %s, without slots; acknowledged: %v", w.id, w.put("i-0dd0dd00", odd))
		}
	}
	time.Sleep(5 * time.Second)
	var later []*job
	for number := range 4 {
		later = append(later, oneStep(101+number, firstQueue, work{Millis: 200}, step{Count: 1, CPU: 2000, Memory: 64, EstimatedMs: 200}))
	}
	if err := s.submitAll(later...); err != nil {
		return err
	}
	return s.judge(5*time.Second, append(later, first)...)
}
