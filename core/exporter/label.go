package exporter

import "slices"

// other stands for every value outside a label's list.
const other = "Other"

// none stands for the empty value, such as the reason of a Complete answer.
const none = "None"

// bounded returns value when it is in known, and Other for anything else.
func bounded[T ~string](known []T, value T) string {
	if value == "" {
		return none
	}
	if slices.Contains(known, value) {
		return string(value)
	}
	return other
}
