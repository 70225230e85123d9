package journaler

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
	"io"

	"google.golang.org/protobuf/proto"

	"oleandertally/core/encoder"
)

const (
	// MaxRecord is the largest Data of a record, in bytes.
	MaxRecord = 8 << 20
	// frameTarget is the payload size from which a frame takes no more records. It bounds the buffer.
	frameTarget = 4 << 20
	// maxPayload is the largest payload that a reader accepts: a full frame with one more record.
	maxPayload = frameTarget + MaxRecord + 4096

	headerSize = 24
)

var (
	magic      = []byte{0xf7, 'O', 'T', 'J'} // 0xf7 never occurs in UTF-8 text
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
)

// header precedes the payload of each frame.
type header struct {
	length   uint32
	number   uint64
	checksum uint32 // of the payload
}

func (h header) append(buffer []byte) []byte {
	start := len(buffer)
	buffer = append(buffer, magic...)
	buffer = binary.LittleEndian.AppendUint32(buffer, h.length)
	buffer = binary.LittleEndian.AppendUint64(buffer, h.number)
	buffer = binary.LittleEndian.AppendUint32(buffer, h.checksum)
	return binary.LittleEndian.AppendUint32(buffer, crc32.Checksum(buffer[start:], castagnoli))
}

// parseHeader reports whether raw begins with a valid header.
func parseHeader(raw []byte) (header, bool) {
	if len(raw) < headerSize || !bytes.Equal(raw[:4], magic) {
		return header{}, false
	}
	if crc32.Checksum(raw[:20], castagnoli) != binary.LittleEndian.Uint32(raw[20:]) {
		return header{}, false
	}
	h := header{length: binary.LittleEndian.Uint32(raw[4:]), number: binary.LittleEndian.Uint64(raw[8:]),
		checksum: binary.LittleEndian.Uint32(raw[16:])}
	return h, h.length <= maxPayload
}

// appendFrame appends the encoded frame to buffer.
func appendFrame(buffer []byte, number uint64, operations []*encoder.JournalOperation) ([]byte, error) {
	start := len(buffer)
	buffer = append(buffer, make([]byte, headerSize)...)
	buffer, err := proto.MarshalOptions{}.MarshalAppend(buffer, &encoder.JournalFrame{Operations: operations})
	if err != nil {
		return nil, err
	}
	payload := buffer[start+headerSize:]
	h := header{length: uint32(len(payload)), number: number, checksum: crc32.Checksum(payload, castagnoli)}
	h.append(buffer[start:start])
	return buffer, nil
}

// readFrame reads the frame at the reader's position. The cause is empty when the frame is
// valid; err is an error of the disk, not of the content.
func readFrame(reader io.Reader, number uint64) (operations []*encoder.JournalOperation, size int64, cause string, err error) {
	raw := make([]byte, headerSize)
	if n, err := io.ReadFull(reader, raw); err != nil {
		return nil, 0, "the header has " + itoa(n) + " of 24 bytes", ignoreEnd(err)
	}
	h, ok := parseHeader(raw)
	if !ok {
		return nil, 0, "the header is not valid", nil
	}
	if h.number != number {
		return nil, 0, "expected frame " + itoa(number) + ", found frame " + itoa(h.number), nil
	}
	payload := make([]byte, h.length)
	if n, err := io.ReadFull(reader, payload); err != nil {
		return nil, 0, "the frame has " + itoa(n) + " of " + itoa(h.length) + " bytes", ignoreEnd(err)
	}
	if crc32.Checksum(payload, castagnoli) != h.checksum {
		return nil, 0, "the checksum of the frame differs", nil
	}
	var frame encoder.JournalFrame
	if err := proto.Unmarshal(payload, &frame); err != nil {
		return nil, 0, "the frame is not a JournalFrame message", nil
	}
	return frame.Operations, headerSize + int64(h.length), "", nil
}

func ignoreEnd(err error) error {
	if err == io.EOF || err == io.ErrUnexpectedEOF {
		return nil
	}
	return err
}

// laterFrame reports whether a header of a frame after number lies anywhere in the rest of the file.
func laterFrame(reader io.Reader, number uint64) (bool, error) {
	window := make([]byte, 0, 1<<16)
	for {
		n, err := reader.Read(window[len(window):cap(window)])
		window = window[:len(window)+n]
		for at := 0; at+headerSize <= len(window); at++ {
			next := bytes.Index(window[at:], magic)
			if next < 0 {
				break
			}
			at += next
			if h, ok := parseHeader(window[at:]); ok && h.number > number {
				return true, nil
			}
		}
		if err != nil {
			return false, ignoreEnd(err)
		}
		// A header may lie across two reads.
		keep := min(len(window), headerSize-1)
		window = window[:copy(window[:keep], window[len(window)-keep:])]
	}
}
