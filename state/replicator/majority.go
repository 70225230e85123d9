package replicator

import "slices"

// majority returns the greatest value that more than half of the values reach or exceed, or zero if there are no values. It
// sorts values in place.
func majority[T any](values []T, compare func(a, b T) int) T {
	if len(values) == 0 {
		var zero T
		return zero
	}
	slices.SortFunc(values, func(a, b T) int { return compare(b, a) })
	return values[len(values)/2]
}
