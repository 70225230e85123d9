package journaler

import "fmt"

// Damage is the error for a file that holds something else than what was synced.
type CorruptionError struct {
	File   string
	Offset int64
	Cause  string
}

// Error says what to do: a repaired log could contradict what this server has confirmed.
func (d *CorruptionError) Error() string {
	return fmt.Sprintf("%s is damaged at offset %d: %s; move the data folder away and start with an empty one, "+
		"so that this controller joins again under a new disk identity", d.File, d.Offset, d.Cause)
}
