// Package exporter exports the metrics of each role to Prometheus. Every role has its own registry. Label values come from
// fixed lists, so that values that callers choose cannot create time series. docs/metrics.md lists every metric.
package exporter
