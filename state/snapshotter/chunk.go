package snapshotter

// Chunk is a part of a snapshot file that is sent to another controller.
type Chunk struct {
	Offset int64
	Data   []byte // at most MaxChunk bytes
	Last   bool
}
