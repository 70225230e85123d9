// Package benchmarker has the benchmarks from whose slopes docs/CAPACITY.md computes the capacity.
package benchmarker
