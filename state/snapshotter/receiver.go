package snapshotter

import (
	"io"

	"github.com/cockroachdb/errors"

	"oleandertally/state/journaler"
)

const receivedFileName = "transfer" + receivedSuffix

// Receiver stores a snapshot that another controller sends. Newest ignores the file until
// Install, because consensus may still reject the snapshot.
type Receiver struct {
	store      *Store
	file       journaler.File
	nextOffset int64 // expected offset of the next chunk
	meta       *Meta // set once the whole file is received and valid
}

// Receive starts a transfer and overwrites an earlier one that was not installed.
func (s *Store) Receive() (*Receiver, error) {
	file, err := s.Folder.Create(receivedFileName)
	if err != nil {
		return nil, errors.Wrap(err, "create received snapshot")
	}
	return &Receiver{store: s, file: file}, nil
}

// Add stores the next chunk and returns nil. After the last chunk it syncs and validates the file
// and returns the Meta of the snapshot. ErrTransfer means that the transfer must be restarted; every
// other error is an I/O error.
func (r *Receiver) Add(chunk Chunk) (*Meta, error) {
	switch end := chunk.Offset + int64(len(chunk.Data)); {
	case r.meta != nil:
		return nil, errors.Wrap(ErrTransfer, "a chunk follows the last one")
	case chunk.Offset != r.nextOffset:
		return nil, errors.Wrapf(ErrTransfer, "chunk at offset %d, expected %d", chunk.Offset, r.nextOffset)
	case len(chunk.Data) == 0 || len(chunk.Data) > MaxChunk:
		return nil, errors.Wrapf(ErrTransfer, "chunk has %d bytes, expected 1 to %d", len(chunk.Data), MaxChunk)
	case end > MaxSize:
		return nil, errors.Wrapf(ErrTransfer, "snapshot has more than %d bytes", int64(MaxSize))
	}
	if _, err := r.file.Write(chunk.Data); err != nil {
		return nil, errors.Wrap(err, "write received snapshot")
	}
	r.nextOffset += int64(len(chunk.Data))
	if !chunk.Last {
		return nil, nil
	}
	return r.finish()
}

func (r *Receiver) finish() (*Meta, error) {
	if err := r.file.Sync(); err != nil {
		return nil, errors.Wrap(err, "sync received snapshot")
	}
	snapshot, cause, err := validate(r.file)
	if err != nil {
		return nil, err
	}
	if cause != "" {
		return nil, errors.Wrap(ErrTransfer, cause)
	}
	r.meta = &snapshot.Meta
	return r.meta, nil
}

// Content returns the body of the received snapshot. It may be called once Add has returned a Meta.
func (r *Receiver) Content() ([]byte, error) {
	snapshot, cause, err := validate(r.file)
	if err != nil {
		return nil, err
	}
	if cause != "" {
		return nil, errors.Wrap(ErrTransfer, cause)
	}
	content, err := io.ReadAll(snapshot.Body())
	return content, errors.Wrap(err, "read received snapshot")
}

// Install adds the received snapshot to the store, removes earlier ones and returns once this is
// durable. It is called once, after Add has returned a Meta.
func (r *Receiver) Install() error {
	if r.meta == nil {
		return errors.Wrap(ErrTransfer, "the transfer is not complete")
	}
	if err := r.file.Close(); err != nil {
		return errors.Wrap(err, "close received snapshot")
	}
	return r.store.publish(receivedFileName, r.meta.Index)
}

// Drop aborts the transfer and removes the received data.
func (r *Receiver) Drop() error {
	r.file.Close()
	return errors.Wrap(r.store.Folder.Remove(receivedFileName), "remove received snapshot")
}
