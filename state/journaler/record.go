package journaler

// Record is one entry of the log. Data is opaque, at most MaxRecord bytes.
type Record struct {
	Index uint64 // starts at 1
	Term  uint64
	Data  []byte
}
