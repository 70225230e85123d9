package journaler

import "fmt"

// CorruptionError reports a file whose content differs from what was synced.
type CorruptionError struct {
	File   string
	Offset int64
	Cause  string
}

// Error tells the operator to start with an empty data folder. The log must not be repaired: it could then
// contradict votes and appends that this server has already confirmed.
func (e *CorruptionError) Error() string {
	return fmt.Sprintf("%s is damaged at offset %d: %s; move the data folder away and start with an empty one, "+
		"so that this controller joins again under a new disk identity", e.File, e.Offset, e.Cause)
}
