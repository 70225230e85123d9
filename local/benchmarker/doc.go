// Package benchmarker holds benchmarks of entries, agents and messages at several sizes. docs/CAPACITY.md computes the
// capacity from the slopes of their results.
package benchmarker
