package snapshotter

import (
	"encoding/binary"
	"io"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"oleandertally/core/encoder"
)

const magic = "OTSNAP\x00\x01"

// summer writes a snapshot file and sums its bytes.
type summer struct {
	target io.Writer
	hash   *xxhash.Digest
	body   uint64 // bytes written by the caller
}

func newSummer(target io.Writer) *summer { return &summer{target: target, hash: xxhash.New()} }

// Write writes a part of the body.
func (s *summer) Write(p []byte) (int, error) {
	n, err := s.raw(p)
	s.body += uint64(n)
	return n, err
}

func (s *summer) raw(p []byte) (int, error) {
	n, err := s.target.Write(p)
	s.hash.Write(p[:n])
	return n, err
}

func (s *summer) begin(meta Meta) error {
	header, err := proto.Marshal(&encoder.SnapshotHeader{Index: meta.Index, Term: meta.Term, Extra: meta.Extra})
	if err != nil {
		return err
	}
	start := binary.LittleEndian.AppendUint32([]byte(magic), uint32(len(header)))
	_, err = s.raw(append(start, header...))
	return err
}

func (s *summer) end() error {
	if _, err := s.raw(binary.LittleEndian.AppendUint64(nil, s.body)); err != nil {
		return err
	}
	_, err := s.target.Write(binary.LittleEndian.AppendUint64(nil, s.hash.Sum64()))
	return err
}
