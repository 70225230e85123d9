package server

import (
	"net/http"

	"oleandertally/controller/driver"
	"oleandertally/core/specifier"
)

// MetricsHandler serves the metrics. It measures the control state on each request only, so that the
// control goroutine does no work for metrics in between.
func (c *Controller) MetricsHandler() http.Handler {
	metrics := c.Metrics.Handler()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		measured, err := c.measure(r.Context(), driver.Measure{})
		if err != nil {
			http.Error(w, "the control goroutine does not answer", http.StatusServiceUnavailable)
			return
		}
		c.Metrics.SetTerm(measured.Term, measured.Leading)
		c.Metrics.SetIndexes(measured.Commit, measured.Applied)
		c.Metrics.SetSubmissions(measured.Submissions)
		c.Metrics.SetRevision(measured.Revision)
		c.setMembers(measured.Members)
		metrics.ServeHTTP(w, r)
	})
}

func (c *Controller) setMembers(members []specifier.Member) {
	type group struct {
		role  specifier.Role
		state specifier.MemberState
	}
	counts := make(map[group]int)
	for _, member := range members {
		counts[group{member.Role, member.State}]++
	}
	for _, role := range []specifier.Role{specifier.Entry, specifier.Agent} {
		for _, state := range []specifier.MemberState{specifier.Up, specifier.Draining, specifier.Down} {
			c.Metrics.SetMembers(role, state, counts[group{role, state}])
		}
	}
}
