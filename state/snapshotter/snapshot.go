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

// Snapshot is an open, validated snapshot file. It stays readable after a newer snapshot replaces it.
type Snapshot struct {
	Meta Meta
	Size int64 // size of the file, in bytes

	file      journaler.File
	bodyStart int64 // offset of the body in the file
}

// Body returns a new reader of the content that was passed to Save.
func (s *Snapshot) Body() io.Reader {
	return io.NewSectionReader(s.file, s.bodyStart, s.Size-trailerSize-s.bodyStart)
}

// Chunk returns the part of the file that starts at offset.
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

// openSnapshot opens and validates a snapshot file.
func openSnapshot(folder journaler.Folder, name string) (*Snapshot, error) {
	file, err := folder.Open(name)
	if err != nil {
		return nil, errors.Wrapf(err, "open %s", name)
	}
	snapshot, cause, err := validate(file)
	if err == nil && cause != "" {
		err = &journaler.CorruptionError{File: name, Cause: cause}
	}
	if err != nil {
		file.Close()
		return nil, err
	}
	return snapshot, nil
}

// validate reads the whole file and checks it. It returns why the content is invalid as a string,
// and I/O errors as an error.
func validate(file journaler.File) (*Snapshot, string, error) {
	size, err := file.Size()
	if err != nil {
		return nil, "", errors.Wrap(err, "size of snapshot")
	}
	prefixSize := int64(len(magic) + 4)
	if size < prefixSize+trailerSize {
		return nil, fmt.Sprintf("it has %d bytes, expected at least %d", size, prefixSize+trailerSize), nil
	}
	actualSum, err := checksum(file, size)
	if err != nil {
		return nil, "", err
	}
	prefix, err := readAt(file, 0, prefixSize)
	if err != nil {
		return nil, "", err
	}
	trailer, err := readAt(file, size-trailerSize, trailerSize)
	if err != nil {
		return nil, "", err
	}
	length := int64(binary.LittleEndian.Uint32(prefix[len(magic):]))
	bodySize := binary.LittleEndian.Uint64(trailer)
	switch {
	case string(prefix[:len(magic)]) != magic:
		return nil, "it does not begin as a snapshot", nil
	case actualSum != binary.LittleEndian.Uint64(trailer[8:]):
		return nil, "its checksum differs", nil
	case length > 2*MaxExtra || prefixSize+length > size-trailerSize || bodySize != uint64(size-trailerSize-prefixSize-length):
		return nil, "its lengths do not fit its size", nil
	}
	raw, err := readAt(file, prefixSize, length)
	if err != nil {
		return nil, "", err
	}
	var header encoder.SnapshotHeader
	if err := proto.Unmarshal(raw, &header); err != nil {
		return nil, "its header is not a SnapshotHeader message", nil
	}
	meta := Meta{Index: header.Index, Term: header.Term, Extra: header.Extra}
	return &Snapshot{Meta: meta, Size: size, file: file, bodyStart: prefixSize + length}, "", nil
}

func checksum(file journaler.File, size int64) (uint64, error) {
	hash := xxhash.New()
	if _, err := io.CopyBuffer(hash, io.NewSectionReader(file, 0, size-8), make([]byte, MaxChunk)); err != nil {
		return 0, errors.Wrap(err, "read snapshot")
	}
	return hash.Sum64(), nil
}

func readAt(file journaler.File, offset, size int64) ([]byte, error) {
	data := make([]byte, size)
	if _, err := file.ReadAt(data, offset); err != nil && err != io.EOF {
		return nil, errors.Wrap(err, "read snapshot")
	}
	return data, nil
}
