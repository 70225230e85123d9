// Package estimator holds the benchmarks whose slopes docs/CAPACITY.md uses.
package estimator
