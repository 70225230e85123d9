package snapshotter

import (
	"encoding/binary"
	"io"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"oleandertally/core/encoder"
)

const magic = "OTSNAP\x00\x01"

// checksumWriter writes a snapshot file and computes its checksum.
type checksumWriter struct {
	target   io.Writer
	hash     *xxhash.Digest
	bodySize uint64 // bytes passed to Write
}

func newChecksumWriter(target io.Writer) *checksumWriter {
	return &checksumWriter{target: target, hash: xxhash.New()}
}

// Write writes a part of the body.
func (w *checksumWriter) Write(p []byte) (int, error) {
	n, err := w.writeRaw(p)
	w.bodySize += uint64(n)
	return n, err
}

func (w *checksumWriter) writeRaw(p []byte) (int, error) {
	n, err := w.target.Write(p)
	w.hash.Write(p[:n])
	return n, err
}

func (w *checksumWriter) writeHeader(meta Meta) error {
	header, err := proto.Marshal(&encoder.SnapshotHeader{Index: meta.Index, Term: meta.Term, Extra: meta.Extra})
	if err != nil {
		return err
	}
	prefix := binary.LittleEndian.AppendUint32([]byte(magic), uint32(len(header)))
	_, err = w.writeRaw(append(prefix, header...))
	return err
}

func (w *checksumWriter) writeTrailer() error {
	if _, err := w.writeRaw(binary.LittleEndian.AppendUint64(nil, w.bodySize)); err != nil {
		return err
	}
	_, err := w.target.Write(binary.LittleEndian.AppendUint64(nil, w.hash.Sum64()))
	return err
}
