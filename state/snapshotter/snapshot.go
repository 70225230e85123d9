package snapshotter

import (
	"encoding/binary"
	"fmt"
	"io"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"oleandertally/core/encoder"
	"oleandertally/state/journaler"
)

// Snapshot is an open, valid snapshot file. It stays readable after newer ones replace it.
type Snapshot struct {
	Meta Meta
	Size int64 // of the file, in bytes

	file  journaler.File
	start int64 // of the body
}

// Body returns a new reader of what Save was given.
func (s *Snapshot) Body() io.Reader {
	return io.NewSectionReader(s.file, s.start, s.Size-trailerSize-s.start)
}

// Chunk returns the part of the file at offset for a transfer.
func (s *Snapshot) Chunk(offset int64) (Chunk, error) {
	if offset < 0 || offset >= s.Size {
		return Chunk{}, errors.Wrapf(ErrTransfer, "offset %d in a file of %d bytes", offset, s.Size)
	}
	data := make([]byte, min(MaxChunk, s.Size-offset))
	if _, err := s.file.ReadAt(data, offset); err != nil && err != io.EOF {
		return Chunk{}, errors.Wrap(err, "read snapshot")
	}
	return Chunk{Offset: offset, Data: data, Last: offset+int64(len(data)) == s.Size}, nil
}

// Close closes the file.
func (s *Snapshot) Close() error { return s.file.Close() }

// open checks the whole file before it returns it.
func open(folder journaler.Folder, name string) (*Snapshot, error) {
	file, err := folder.Open(name)
	if err != nil {
		return nil, errors.Wrapf(err, "open %s", name)
	}
	snapshot, cause, err := check(file)
	if err == nil && cause != "" {
		err = &journaler.CorruptionError{File: name, Cause: cause}
	}
	if err != nil {
		file.Close()
		return nil, err
	}
	return snapshot, nil
}

// check returns what is wrong with the content, or an error of the disk.
func check(file journaler.File) (*Snapshot, string, error) {
	size, err := file.Size()
	if err != nil {
		return nil, "", errors.Wrap(err, "size of snapshot")
	}
	prefix := int64(len(magic) + 4)
	if size < prefix+trailerSize {
		return nil, fmt.Sprintf("it has %d bytes, expected at least %d", size, prefix+trailerSize), nil
	}
	sum, err := sumOf(file, size)
	if err != nil {
		return nil, "", err
	}
	head, err := readAt(file, 0, prefix)
	if err != nil {
		return nil, "", err
	}
	trailer, err := readAt(file, size-trailerSize, trailerSize)
	if err != nil {
		return nil, "", err
	}
	length := int64(binary.LittleEndian.Uint32(head[len(magic):]))
	body := binary.LittleEndian.Uint64(trailer)
	switch {
	case string(head[:len(magic)]) != magic:
		return nil, "it does not begin as a snapshot", nil
	case sum != binary.LittleEndian.Uint64(trailer[8:]):
		return nil, "its checksum differs", nil
	case length > 2*MaxExtra || prefix+length > size-trailerSize || body != uint64(size-trailerSize-prefix-length):
		return nil, "its lengths do not fit its size", nil
	}
	raw, err := readAt(file, prefix, length)
	if err != nil {
		return nil, "", err
	}
	var header encoder.SnapshotHeader
	if err := proto.Unmarshal(raw, &header); err != nil {
		return nil, "its header is not a SnapshotHeader message", nil
	}
	meta := Meta{Index: header.Index, Term: header.Term, Extra: header.Extra}
	return &Snapshot{Meta: meta, Size: size, file: file, start: prefix + length}, "", nil
}

func sumOf(file journaler.File, size int64) (uint64, error) {
	hash := xxhash.New()
	if _, err := io.CopyBuffer(hash, io.NewSectionReader(file, 0, size-8), make([]byte, MaxChunk)); err != nil {
		return 0, errors.Wrap(err, "read snapshot")
	}
	return hash.Sum64(), nil
}

func readAt(file journaler.File, offset, size int64) ([]byte, error) {
	raw := make([]byte, size)
	if _, err := file.ReadAt(raw, offset); err != nil && err != io.EOF {
		return nil, errors.Wrap(err, "read snapshot")
	}
	return raw, nil
}
