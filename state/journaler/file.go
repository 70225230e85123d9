package journaler

import "io"

// File is an open file of a data folder. Write appends to its end.
type File interface {
	io.Reader
	io.ReaderAt
	io.Writer
	io.Closer
	Size() (int64, error)
	Truncate(size int64) error
	// Sync makes the content durable. A failed Sync must not be retried, because the kernel may
	// already have dropped the unwritten data.
	Sync() error
}
