package main

import "time"

// restartPause is from the end of a process that was stopped until it is started again.
const restartPause = 500 * time.Millisecond

// agentRestart: the agent beside a worker is stopped and started again. While it waits for the worker's run to end, a job is handed in
// that requires this worker's label.
func agentRestart(s *scene) error {
	first := kept(1, firstQueue, work{Millis: 3000}, step{Count: 1, CPU: 2000, Memory: 64, EstimatedMs: 3000, Requirements: loneRack})
	second := kept(2, firstQueue, work{Millis: 200}, step{Count: 1, CPU: 2000, Memory: 64, EstimatedMs: 200, Requirements: loneRack})
	if err := s.submitRunning(first); err != nil {
		return err
	}
	restarted := make(chan error, 1)
	if s.trouble {
		agent := s.agents[s.withLabel(loneRack).id]
		go func() { restarted <- agent.restart(restartPause) }()
	} else {
		restarted <- nil
	}
	time.Sleep(time.Second)
	if err := s.submitAll(second); err != nil {
		return err
	}
	if err := <-restarted; err != nil {
		return err
	}
	return s.judge(5*time.Second, first, second)
}
