package operator

import "strings"

// UnreachableError means that no controller answered as the leader. A change may have been applied nevertheless.
type UnreachableError struct {
	Tried []string // address and error of each controller in the last round
}

// Error lists the controllers that were tried and their errors.
func (e *UnreachableError) Error() string {
	return "no leading controller answered: " + strings.Join(e.Tried, "; ")
}
