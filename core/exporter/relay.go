package exporter

import (
	"github.com/prometheus/client_golang/prometheus"

	"oleandertally/core/relayer"
)

// Relay contains the metrics of a relay. It is safe for concurrent use.
type Relay struct {
	connections prometheus.Gauge
	refusals    *prometheus.CounterVec
	bytes       prometheus.Counter
}

// relayReasons are the label values for refusals.
var relayReasons = []relayer.Reason{relayer.BadRequest, relayer.UnknownTarget, relayer.Full, relayer.Unreachable}

// NewRelay adds the metrics of a relay to those of its process.
func NewRelay(process *Queues) *Relay {
	const subsystem = "relay"
	r := &Relay{
		connections: gauge(subsystem, "connections", "Connections to controllers that are relayed."),
		refusals:    counters(subsystem, "refusals_total", "Requests that were refused, by reason.", "reason"),
		bytes:       counter(subsystem, "copied_bytes_total", "Bytes copied in both directions."),
	}
	for _, reason := range relayReasons {
		r.refusals.WithLabelValues(string(reason))
	}
	process.registry.MustRegister(r.connections, r.refusals, r.bytes)
	return r
}

// Opened counts a connection that is relayed from now on.
func (r *Relay) Opened() { r.connections.Inc() }

// Closed counts a connection that is no longer relayed.
func (r *Relay) Closed() { r.connections.Dec() }

// Refused counts a request that was refused.
func (r *Relay) Refused(reason relayer.Reason) {
	r.refusals.WithLabelValues(knownOrOther(relayReasons, reason)).Inc()
}

// Copied counts bytes.
func (r *Relay) Copied(bytes int) { r.bytes.Add(float64(bytes)) }
