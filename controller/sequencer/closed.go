package sequencer

// Closed reports that a stream ended.
type Closed struct {
	Stream Stream
}

func (Closed) event() {}
