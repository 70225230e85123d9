package snapshotter

import (
	"github.com/cockroachdb/errors"

	"oleandertally/state/journaler"
)

const receivedName = "transfer" + received

// Receiver stores a snapshot that another controller sends. The file takes part in Newest only
// after Install, so that a transfer that consensus rejects leaves no trace.
type Receiver struct {
	store *Store
	file  journaler.File
	next  int64
	meta  *Meta
}

// Receive begins a transfer and drops an earlier one that was not installed.
func (s *Store) Receive() (*Receiver, error) {
	file, err := s.Folder.Create(receivedName)
	if err != nil {
		return nil, errors.Wrap(err, "create received snapshot")
	}
	return &Receiver{store: s, file: file}, nil
}

// Add stores the next chunk. After the last one it syncs the file, checks all of it and returns
// its description; before that it returns nil. ErrTransfer means that the transfer must begin
// again; every other error is of the disk.
func (r *Receiver) Add(chunk Chunk) (*Meta, error) {
	switch end := chunk.Offset + int64(len(chunk.Data)); {
	case r.meta != nil:
		return nil, errors.Wrap(ErrTransfer, "a chunk follows the last one")
	case chunk.Offset != r.next:
		return nil, errors.Wrapf(ErrTransfer, "chunk at offset %d, expected %d", chunk.Offset, r.next)
	case len(chunk.Data) == 0 || len(chunk.Data) > MaxChunk:
		return nil, errors.Wrapf(ErrTransfer, "chunk has %d bytes, expected 1 to %d", len(chunk.Data), MaxChunk)
	case end > MaxSize:
		return nil, errors.Wrapf(ErrTransfer, "snapshot has more than %d bytes", int64(MaxSize))
	}
	if _, err := r.file.Write(chunk.Data); err != nil {
		return nil, errors.Wrap(err, "write received snapshot")
	}
	r.next += int64(len(chunk.Data))
	if !chunk.Last {
		return nil, nil
	}
	return r.finish()
}

func (r *Receiver) finish() (*Meta, error) {
	if err := r.file.Sync(); err != nil {
		return nil, errors.Wrap(err, "sync received snapshot")
	}
	snapshot, cause, err := check(r.file)
	if err != nil {
		return nil, err
	}
	if cause != "" {
		return nil, errors.Wrap(ErrTransfer, cause)
	}
	r.meta = &snapshot.Meta
	return r.meta, nil
}

// Install makes the received snapshot the newest one and returns once it survives a crash.
// It is called once, after Add returned a description.
func (r *Receiver) Install() error {
	if r.meta == nil {
		return errors.Wrap(ErrTransfer, "the transfer is not complete")
	}
	if err := r.file.Close(); err != nil {
		return errors.Wrap(err, "close received snapshot")
	}
	return r.store.publish(receivedName, r.meta.Index)
}

// Drop removes what was received.
func (r *Receiver) Drop() error {
	r.file.Close()
	return errors.Wrap(r.store.Folder.Remove(receivedName), "remove received snapshot")
}
