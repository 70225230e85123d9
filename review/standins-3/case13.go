package main

import "time"

// oddReport: one status report of another writer, in which a field is missing, arrives at the agent beside a worker.
func oddReport(s *scene) error {
	w := s.withLabel(loneRack)
	first := kept(1, firstQueue, work{Millis: 4000}, step{Count: 1, CPU: 2000, Memory: 64, EstimatedMs: 4000, Requirements: loneRack})
	second := kept(2, firstQueue, work{Millis: 200}, step{Count: 1, CPU: 2000, Memory: 64, EstimatedMs: 200, Requirements: loneRack})
	if err := s.submitRunning(first); err != nil {
		return err
	}
	if s.trouble {
		odd := w.status()
		odd["address"], odd["born"] = "127.0.0.1:9", time.Now().UnixMilli()
		delete(odd, "slots")
		s.record.note("another writer: PUT /-/instances/i-0dd0dd00 without slots; acknowledged: %v", w.put("i-0dd0dd00", odd))
	}
	time.Sleep(2 * time.Second)
	if err := s.submitAll(second); err != nil {
		return err
	}
	return s.judge(5*time.Second, first, second)
}
