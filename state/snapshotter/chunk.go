package snapshotter

// Chunk is a part of a snapshot file on its way to another controller.
type Chunk struct {
	Offset int64
	Data   []byte // at most MaxChunk bytes
	Last   bool
}
