package journaler

import "io"

// File is one file of a data folder. Write appends.
type File interface {
	io.Reader
	io.ReaderAt
	io.Writer
	io.Closer
	Size() (int64, error)
	Truncate(size int64) error
	// Sync makes the content durable. After an error the content is unknown: it must not be retried.
	Sync() error
}
