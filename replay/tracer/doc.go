// Package tracer reads, writes and generates traces: JSON Lines files whose first line is a header and
// whose other lines are jobs in order of arrival.
package tracer
