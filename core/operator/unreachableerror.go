package operator

import "strings"

// UnreachableError means that no leading controller gave an answer. A change may be applied
// all the same.
type UnreachableError struct {
	Tried []string // controller and what it answered, in the last round
}

// Error lists what was tried.
func (e *UnreachableError) Error() string {
	return "no leading controller answered: " + strings.Join(e.Tried, "; ")
}
