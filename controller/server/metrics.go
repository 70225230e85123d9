package server

import (
	"net/http"

	"oleandertally/core/specifier"
)

// MetricsHandler serves the metrics. Figures of the state are read when they are asked for, so that they
// cost the control goroutine nothing in between.
func (c *Controller) MetricsHandler() http.Handler {
	pages := c.Metrics.Handler()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		measured, err := c.measure(r.Context())
		if err != nil {
			http.Error(w, "the control goroutine does not answer", http.StatusServiceUnavailable)
			return
		}
		c.Metrics.SetTerm(measured.Term, measured.Leading)
		c.Metrics.SetIndexes(measured.Commit, measured.Applied)
		c.Metrics.SetSubmissions(measured.Submissions)
		c.Metrics.SetRevision(measured.Revision)
		c.setMembers(measured.Members)
		pages.ServeHTTP(w, r)
	})
}

func (c *Controller) setMembers(members []specifier.Member) {
	type kind struct {
		role  specifier.Role
		state specifier.MemberState
	}
	counts := make(map[kind]int)
	for _, member := range members {
		counts[kind{member.Role, member.State}]++
	}
	for _, role := range []specifier.Role{specifier.Entry, specifier.Agent} {
		for _, state := range []specifier.MemberState{specifier.Up, specifier.Draining, specifier.Down} {
			c.Metrics.SetMembers(role, state, counts[kind{role, state}])
		}
	}
}
