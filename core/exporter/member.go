package exporter

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"oleandertally/core/specifier"
)

const namespace = "oleandertally"

// Member contains the metrics that every role has, and the registry of one role.
type Member struct {
	registry    *prometheus.Registry
	revision    prometheus.Gauge
	leaseMargin prometheus.Gauge
	bytes       *prometheus.CounterVec
}

func newMember() *Member {
	m := &Member{
		registry: prometheus.NewRegistry(),
		revision: gauge("", "configuration_revision", "Revision of the configuration in force in this process."),
		leaseMargin: gauge("", "lease_margin_seconds",
			"Time left on the lease when it was last renewed, before the renewal."),
		bytes: counters("", "control_bytes_total", "Bytes of control messages, by direction.", "direction"),
	}
	m.registry.MustRegister(m.revision, m.leaseMargin, m.bytes)
	m.registry.MustRegister(collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	for _, direction := range directions {
		m.bytes.WithLabelValues(string(direction))
	}
	return m
}

// Registry returns the role's registry.
func (m *Member) Registry() *prometheus.Registry { return m.registry }

// Handler serves the metrics in Prometheus's text format.
func (m *Member) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// SetRevision reports the revision in force.
func (m *Member) SetRevision(revision specifier.Revision) { m.revision.Set(float64(revision)) }

// SetLeaseMargin reports the time that was left on the lease when it was renewed. It is negative when the lease had
// expired.
func (m *Member) SetLeaseMargin(left time.Duration) { m.leaseMargin.Set(left.Seconds()) }

// AddControlBytes counts the bytes of control messages. A negative count is ignored.
func (m *Member) AddControlBytes(direction Direction, count int) {
	m.bytes.WithLabelValues(knownOrOther(directions, direction)).Add(float64(max(count, 0)))
}
