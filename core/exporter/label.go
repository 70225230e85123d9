package exporter

import "slices"

// otherValue is the label value for every value outside the label's list.
const otherValue = "Other"

// emptyValue is the label value for an empty value, such as the reason of a Complete answer.
const emptyValue = "None"

// knownOrOther returns value when it is in known, emptyValue when it is empty, and otherValue for any other value.
func knownOrOther[T ~string](known []T, value T) string {
	if value == "" {
		return emptyValue
	}
	if slices.Contains(known, value) {
		return string(value)
	}
	return otherValue
}
