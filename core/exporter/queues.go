package exporter

import (
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Queues contains the metrics of a process that serves queues. It is safe for concurrent use.
type Queues struct {
	registry *prometheus.Registry
	events   *prometheus.CounterVec
	requests *prometheus.HistogramVec
	jobs     *prometheus.HistogramVec
	waiting  *prometheus.GaugeVec
}

// NewQueues returns the metrics on a new registry. dropped returns how many log lines were dropped.
func NewQueues(dropped func() int64) *Queues {
	const subsystem = "queues"
	q := &Queues{
		registry: prometheus.NewRegistry(),
		events:   counters(subsystem, "events_total", "Decisions and changes, by the event of their log line.", "event"),
		requests: histograms(subsystem, "request_seconds", "Time from a request to its answer, by method and status.", durationBuckets, "method", "status"),
		jobs:     histograms(subsystem, "job_seconds", "Time from the arrival of a job to its end, by outcome.", durationBuckets, "outcome"),
		waiting:  gauges(subsystem, "waiting_tasks", "Tasks that wait for a worker, by queue and reason.", "queue", "reason"),
	}
	lines := prometheus.NewCounterFunc(prometheus.CounterOpts{Namespace: namespace, Subsystem: subsystem, Name: "log_lines_dropped_total",
		Help: "Log lines that nobody read in time."}, func() float64 { return float64(dropped()) })
	q.registry.MustRegister(q.events, q.requests, q.jobs, q.waiting, lines)
	q.registry.MustRegister(collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return q
}

// Registry returns the registry.
func (q *Queues) Registry() *prometheus.Registry { return q.registry }

// Handler serves the metrics in Prometheus's text format.
func (q *Queues) Handler() http.Handler {
	return promhttp.HandlerFor(q.registry, promhttp.HandlerOpts{})
}

// Event counts one log line. name must be a constant, because each name creates a time series.
func (q *Queues) Event(name string) { q.events.WithLabelValues(name).Inc() }

// methods are the label values for request methods.
var methods = []string{http.MethodGet, http.MethodPost, http.MethodPut, http.MethodDelete}

// Request counts one answered request.
func (q *Queues) Request(method string, status int, took time.Duration) {
	q.requests.WithLabelValues(knownOrOther(methods, method), strconv.Itoa(status)).Observe(took.Seconds())
}

// queueOutcomes are the label values for outcomes of jobs. Any other outcome is a refusal.
var queueOutcomes = []string{"Completed", "Failed", "Cancelled"}

// Job counts one job that ended.
func (q *Queues) Job(outcome string, took time.Duration) {
	q.jobs.WithLabelValues(knownOrOther(queueOutcomes, outcome)).Observe(took.Seconds())
}

// waitingReasons are the label values for what waiting tasks wait for.
var waitingReasons = []string{"Room", "NoWorker", "Evacuated"}

// SetWaiting reports how many tasks of a queue wait for a reason. The queues are those of the manifest, which bounds their number.
func (q *Queues) SetWaiting(queue, reason string, tasks int) {
	q.waiting.WithLabelValues(queue, knownOrOther(waitingReasons, reason)).Set(float64(tasks))
}

// ResetWaiting forgets the queues that were reported, before the present ones are.
func (q *Queues) ResetWaiting() { q.waiting.Reset() }
