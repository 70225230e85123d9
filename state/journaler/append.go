package journaler

// Append adds consecutive records to the end of the log.
type Append struct {
	Records []Record
}

func (Append) operation() {}
