package main

import (
	"fmt"
	"net/http"
	"time"
)

// cancelCase cancels a job while the agent beside the job's worker is down for a moment. The job's task must be gone after a calm
// stretch of cancelBound and stopGrace.
func cancelCase(s *site, trouble bool) (verdict, error) {
	if err := s.configure(manifest(1, route(queueName, queuePrefix, 4)), 20*time.Second); err != nil {
		return "", err
	}
	if err := s.ready(queuePrefix); err != nil {
		return "", err
	}
	id := newID()
	if err := s.submit(queuePrefix, id, work{Ms: 20_000}, []map[string]any{{"count": 1, "cpu": 2000, "memoryRequestMb": 64, "estimatedMs": 20_000}}); err != nil {
		return "", err
	}
	at := s.awaitRun(id, 5*time.Second)
	if at < 0 {
		return "", fmt.Errorf("the job does not start")
	}
	time.Sleep(time.Second)
	if trouble {
		s.agents[at].kill(s)
		time.Sleep(100 * time.Millisecond)
	}
	acknowledged := false
	for i := range 10 {
		code := s.call(http.MethodDelete, s.entryAddr(i), queuePrefix+id, nil, time.Second).code
		if acknowledged = code/100 == 2 || code == http.StatusGone; acknowledged {
			break
		}
	}
	if !acknowledged {
		return "", fmt.Errorf("the cancellation is not acknowledged")
	}
	if trouble {
		time.Sleep(100 * time.Millisecond)
		if err := s.agents[at].start(s); err != nil {
			return "", err
		}
	}
	// The machine is in touch again after the contact time. From then on, nothing disturbs the site.
	time.Sleep(contact + cancelBound + stopGrace + time.Second)
	if i := s.where(id); i >= 0 {
		return verdict(fmt.Sprintf("worker %s still runs a task of job %s, %v after its cancellation was acknowledged and the last disruption ended",
			s.workers[i].id, id, contact+cancelBound+stopGrace+time.Second)), nil
	}
	return "", nil
}
