package exporter

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Agent contains the metrics of an agent. It is safe for concurrent use.
type Agent struct {
	*Member
	starts   prometheus.Counter
	failures prometheus.Counter
	refusals *prometheus.CounterVec
	slots    prometheus.Gauge
	running  prometheus.Gauge
	queue    *prometheus.GaugeVec
	wait     *prometheus.HistogramVec
	run      *prometheus.HistogramVec
}

// NewAgent returns the metrics of an agent on a new registry.
func NewAgent() *Agent {
	const role = "agent"
	a := &Agent{
		Member:   newMember(),
		starts:   counter(role, "starts_total", "Tasks that the upstream was called for."),
		failures: counter(role, "failures_total", "Started tasks that the upstream failed."),
		refusals: counters(role, "refusals_total", "Tasks refused without a start, by cause.", "cause"),
		slots:    gauge(role, "slots", "Tasks that the upstream runs at once; 0 while it is absent or drains."),
		running:  gauge(role, "running_tasks", "Tasks that the upstream runs now."),
		queue:    gauges(role, "queue_tasks", "Tasks that wait for a slot, by class.", "class"),
		wait:     histograms(role, "queue_wait_seconds", "Time that a task waited for a slot, by class.", durationBuckets, "class"),
		run:      histograms(role, "run_seconds", "Run time of a task at the upstream, by class.", durationBuckets, "class"),
	}
	a.registry.MustRegister(a.starts, a.failures, a.refusals, a.slots, a.running, a.queue, a.wait, a.run)
	for _, class := range classes {
		a.queue.WithLabelValues(string(class))
		a.wait.WithLabelValues(string(class))
		a.run.WithLabelValues(string(class))
	}
	for _, cause := range causes {
		a.refusals.WithLabelValues(string(cause))
	}
	return a
}

// Started counts a task that started after it waited for a slot.
func (a *Agent) Started(class Class, waited time.Duration) {
	a.starts.Inc()
	a.wait.WithLabelValues(knownOrOther(classes, class)).Observe(waited.Seconds())
}

// Ended counts a started task for which the upstream has answered.
func (a *Agent) Ended(class Class, ran time.Duration, failed bool) {
	a.run.WithLabelValues(knownOrOther(classes, class)).Observe(ran.Seconds())
	if failed {
		a.failures.Inc()
	}
}

// Refused counts a task that was refused without a start.
func (a *Agent) Refused(cause Cause) { a.refusals.WithLabelValues(knownOrOther(causes, cause)).Inc() }

// SetSlots reports the upstream's slots and how many are in use.
func (a *Agent) SetSlots(slots, running int) {
	a.slots.Set(float64(slots))
	a.running.Set(float64(running))
}

// SetQueued reports how many tasks of class wait for a slot.
func (a *Agent) SetQueued(class Class, tasks int) {
	a.queue.WithLabelValues(knownOrOther(classes, class)).Set(float64(tasks))
}
