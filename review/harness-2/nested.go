package main

import (
	"fmt"
	"net/http"
	"time"
)

// nestedCase removes the route of an accepted job from the manifest while another route with a shorter prefix stays.
func nestedCase(s *site, trouble bool) (string, error) {
	inner := route{"r-73d3zji", mainHost, mainPrefix + "pufi791/"}
	if err := s.open(manifest(3, mainRoute, inner), mainHost, mainPrefix); err != nil {
		return "", err
	}
	job, cancelled := newID(), newID()
	body := `{"specification":"ms=12000","steps":[{"count":2,"cpu":500,"memoryRequestMb":64,"estimatedMs":12000},{"count":4,"cpu":500,"memoryRequestMb":64,"estimatedMs":12000,"after":[0]}]}`
	for _, id := range []string{job, cancelled} {
		if got := s.client(http.MethodPost, mainHost, inner.prefix+id, body); got.status != http.StatusOK {
			return "", fmt.Errorf("the job is not accepted: %d", got.status)
		}
	}
	time.Sleep(visibleBound + 500*time.Millisecond)
	next := manifest(5, mainRoute, inner)
	if trouble {
		next = manifest(5, mainRoute)
	}
	if err := s.putManifest(next); err != nil {
		return "", err
	}
	time.Sleep(configApply + 500*time.Millisecond)
	broken := ""
	if _, got := s.state(mainHost, inner.prefix+job); got.status == http.StatusGone {
		broken = "LOST: a GET for an accepted job that nobody has cancelled is answered 410"
	}
	got := s.client(http.MethodDelete, mainHost, inner.prefix+cancelled, "")
	acknowledged := time.Now()
	if got.status != http.StatusGone && got.status != http.StatusOK {
		return broken, nil
	}
	time.Sleep(10 * time.Second) // the first step ends meanwhile
	late := 0
	for _, each := range s.workers {
		for _, start := range each.startsOf(cancelled) {
			if start.at.Sub(acknowledged) > cancelBound {
				late++
				s.note("worker %d has started %s %.1f s after the cancelling was acknowledged with %d", each.index, start.task, start.at.Sub(acknowledged).Seconds(), got.status)
			}
		}
	}
	if late > 0 {
		if broken != "" {
			broken += "; "
		}
		broken += fmt.Sprintf("UNASKED: %d tasks are started later than %v after the job's cancelling was acknowledged with %d", late, cancelBound, got.status)
	}
	return broken, nil
}
