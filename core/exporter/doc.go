// Package exporter counts and times what each role does, for Prometheus. Every role has a
// registry of its own. Label values come from fixed lists, so that no caller can add a time
// series; docs/metrics.md lists every metric.
package exporter
