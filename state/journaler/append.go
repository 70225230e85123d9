package journaler

// Append adds consecutive records; the first follows the last record of the log.
type Append struct {
	Records []Record
}

func (Append) operation() {}
