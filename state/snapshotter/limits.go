package snapshotter

const (
	// MaxChunk is the largest Data of a Chunk, in bytes. While a snapshot is sent, other messages wait
	// for at most one chunk.
	MaxChunk = 256 << 10
	// MaxExtra is the largest Extra of a Meta, in bytes.
	MaxExtra = 64 << 10
	// MaxSize is the largest snapshot that is accepted from another controller, in bytes.
	MaxSize = 4 << 30

	// trailerSize is the size of the body length and the checksum at the end of a file, in bytes.
	trailerSize = 16
)
