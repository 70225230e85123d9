// Package tracer reads, writes and generates traces: JSON Lines files with a header in the first line and one job in each
// further line, in order of arrival.
package tracer
