package sequencer

// StreamClosed reports that a stream ended.
type StreamClosed struct {
	Stream Stream
}

func (StreamClosed) event() {}
