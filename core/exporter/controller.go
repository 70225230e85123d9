package exporter

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"oleandertally/core/specifier"
)

// Controller contains the metrics of a controller. It is safe for concurrent use.
type Controller struct {
	*Member
	Disk        *Disk
	leading     prometheus.Gauge
	term        prometheus.Gauge
	commit      prometheus.Gauge
	applied     prometheus.Gauge
	elections   prometheus.Counter
	sync        prometheus.Histogram
	batch       prometheus.Histogram
	decisions   *prometheus.CounterVec
	submissions prometheus.Gauge
	members     *prometheus.GaugeVec
}

// NewController returns the metrics of a controller on a new registry.
func NewController() *Controller {
	const role = "controller"
	c := &Controller{
		Member:      newMember(),
		Disk:        newDisk(),
		leading:     gauge(role, "leading", "1 while this controller leads, else 0."),
		term:        gauge(role, "term", "Current term."),
		commit:      gauge(role, "commit_index", "Index of the newest committed log entry."),
		applied:     gauge(role, "applied_index", "Index of the newest applied log entry."),
		elections:   counter(role, "elections_total", "Elections that this controller started."),
		sync:        histogram(role, "sync_seconds", "Time of a synced write of the log.", syncBuckets),
		batch:       histogram(role, "batch_commands", "Commands that shared one log entry.", batchBuckets),
		decisions:   counters(role, "decisions_total", "Decisions on commands, by verdict.", "verdict"),
		submissions: gauge(role, "submissions", "Submissions that are remembered."),
		members:     gauges(role, "members", "Members, by role and state.", "role", "state"),
	}
	c.registry.MustRegister(c.leading, c.term, c.commit, c.applied, c.elections, c.sync, c.batch, c.decisions,
		c.submissions, c.members)
	c.registry.MustRegister(c.Disk.collectors()...)
	for _, verdict := range verdicts {
		c.decisions.WithLabelValues(string(verdict))
	}
	for _, memberRole := range roles {
		for _, state := range states {
			c.members.WithLabelValues(string(memberRole), string(state))
		}
	}
	return c
}

// SetTerm reports the term and whether this controller leads it.
func (c *Controller) SetTerm(term uint64, leading bool) {
	c.term.Set(float64(term))
	c.leading.Set(0)
	if leading {
		c.leading.Set(1)
	}
}

// SetIndexes reports the commit index and the applied index.
func (c *Controller) SetIndexes(commit, applied uint64) {
	c.commit.Set(float64(commit))
	c.applied.Set(float64(applied))
}

// ElectionStarted counts an election that this controller started.
func (c *Controller) ElectionStarted() { c.elections.Inc() }

// Synced records the duration of one synced write of the log.
func (c *Controller) Synced(took time.Duration) { c.sync.Observe(took.Seconds()) }

// Batched records the number of commands in one log entry.
func (c *Controller) Batched(commands int) { c.batch.Observe(float64(commands)) }

// Decided counts a decision.
func (c *Controller) Decided(verdict specifier.Verdict) {
	c.decisions.WithLabelValues(knownOrOther(verdicts, verdict)).Inc()
}

// SetSubmissions reports how many submissions the controller stores.
func (c *Controller) SetSubmissions(count int) { c.submissions.Set(float64(count)) }

// SetMembers reports how many members of role are in state.
func (c *Controller) SetMembers(role specifier.Role, state specifier.MemberState, count int) {
	c.members.WithLabelValues(knownOrOther(roles, role), knownOrOther(states, state)).Set(float64(count))
}
