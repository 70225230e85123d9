package exporter

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"oleandertally/core/specifier"
)

// Entry contains the metrics of an entry. It is safe for concurrent use.
type Entry struct {
	*Member
	requests      *prometheus.CounterVec
	inTime        prometheus.Counter
	responseRatio *prometheus.HistogramVec
	queue         *prometheus.GaugeVec
	wait          *prometheus.HistogramVec
	assignments   prometheus.Counter
	refused       prometheus.Counter
	retries       prometheus.Counter
	ejections     prometheus.Counter
	record        prometheus.Histogram
}

// NewEntry returns the metrics of an entry on a new registry.
func NewEntry() *Entry {
	const role = "entry"
	e := &Entry{
		Member:        newMember(),
		requests:      counters(role, "requests_total", "Answers to callers, by outcome and reason.", "outcome", "reason"),
		inTime:        counter(role, "in_time_total", "Complete answers that went out before their deadline."),
		responseRatio: histograms(role, "response_over_ideal_ratio", "Response time of Complete answers over the ideal, by class of the job's longest task.", responseRatioBuckets, "class"),
		queue:         gauges(role, "queue_tasks", "Tasks that wait at this entry, by class.", "class"),
		wait:          histograms(role, "queue_wait_seconds", "Time that a task waited at this entry before assignment, by class.", durationBuckets, "class"),
		assignments:   counter(role, "assignments_total", "Tasks sent to agents, repeats included."),
		refused:       counter(role, "refused_assignments_total", "Assignments that an agent refused without a start."),
		retries:       counter(role, "retries_total", "Tasks sent again after a refusal or a recorded loss."),
		ejections:     counter(role, "ejections_total", "Times that a worker was taken out because its tasks failed."),
		record:        histogram(role, "record_seconds", "Time from the proposal of a job to the decision of the controllers.", durationBuckets),
	}
	e.registry.MustRegister(e.requests, e.inTime, e.responseRatio, e.queue, e.wait, e.assignments, e.refused, e.retries,
		e.ejections, e.record)
	for _, class := range classes {
		e.queue.WithLabelValues(string(class))
		e.wait.WithLabelValues(string(class))
		e.responseRatio.WithLabelValues(string(class))
	}
	return e
}

// Answered counts an answer to a caller.
func (e *Entry) Answered(outcome specifier.Outcome, reason specifier.Reason) {
	e.requests.WithLabelValues(knownOrOther(outcomes, outcome), knownOrOther(reasons, reason)).Inc()
}

// Completed records the response time of a Complete answer. took is the time since the submission, ideal is the time of
// its tasks without any waiting, and left is the time that remains until the deadline.
func (e *Entry) Completed(class Class, took, ideal, left time.Duration) {
	if left >= 0 {
		e.inTime.Inc()
	}
	if ideal > 0 {
		e.responseRatio.WithLabelValues(knownOrOther(classes, class)).Observe(took.Seconds() / ideal.Seconds())
	}
}

// SetQueued reports how many tasks of class wait at this entry.
func (e *Entry) SetQueued(class Class, tasks int) {
	e.queue.WithLabelValues(knownOrOther(classes, class)).Set(float64(tasks))
}

// Assigned counts a task that was sent to an agent after it waited at this entry.
func (e *Entry) Assigned(class Class, waited time.Duration) {
	e.assignments.Inc()
	e.wait.WithLabelValues(knownOrOther(classes, class)).Observe(waited.Seconds())
}

// Refused counts an assignment that an agent refused.
func (e *Entry) Refused() { e.refused.Inc() }

// Retried counts a task that is sent again.
func (e *Entry) Retried() { e.retries.Inc() }

// Ejected counts the ejection of a worker.
func (e *Entry) Ejected() { e.ejections.Inc() }

// Recorded records the time from the proposal of a job to its decision.
func (e *Entry) Recorded(took time.Duration) { e.record.Observe(took.Seconds()) }
