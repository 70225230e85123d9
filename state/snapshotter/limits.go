package snapshotter

const (
	// MaxChunk is the largest part of a transfer, in bytes. A stream that carries snapshots delays
	// other messages by the time of one chunk.
	MaxChunk = 256 << 10
	// MaxExtra is the largest Extra of a Meta, in bytes.
	MaxExtra = 64 << 10
	// MaxSize is the largest snapshot that is accepted from another controller, in bytes.
	MaxSize = 4 << 30

	trailerSize = 16
)
