// Package benchmarker holds the benchmarks whose slopes docs/CAPACITY.md uses.
package benchmarker
