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
	// frameTarget is the payload size, in bytes, at which a frame is written. It bounds the write buffer.
	frameTarget = 4 << 20
	// maxPayload is the largest payload that a reader accepts, in bytes. A frame just below frameTarget
	// can still receive one more record of the largest size.
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
	checksum uint32 // checksum of the payload
}

func (h header) append(buffer []byte) []byte {
	start := len(buffer)
	buffer = append(buffer, magic...)
	buffer = binary.LittleEndian.AppendUint32(buffer, h.length)
	buffer = binary.LittleEndian.AppendUint64(buffer, h.number)
	buffer = binary.LittleEndian.AppendUint32(buffer, h.checksum)
	return binary.LittleEndian.AppendUint32(buffer, crc32.Checksum(buffer[start:], castagnoli))
}

// parseHeader decodes the header at the start of raw and reports whether it is valid.
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

// appendFrame encodes a frame and appends it to buffer.
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

// readFrame reads the next frame, which must have the given number. For invalid content cause
// describes the problem; err reports only I/O errors.
func readFrame(reader io.Reader, number uint64) (operations []*encoder.JournalOperation, size int64, cause string, err error) {
	raw := make([]byte, headerSize)
	if n, err := io.ReadFull(reader, raw); err != nil {
		return nil, 0, "the header has " + itoa(n) + " of 24 bytes", ignoreEOF(err)
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
		return nil, 0, "the frame has " + itoa(n) + " of " + itoa(h.length) + " bytes", ignoreEOF(err)
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

func ignoreEOF(err error) error {
	if err == io.EOF || err == io.ErrUnexpectedEOF {
		return nil
	}
	return err
}

// containsLaterFrame reports whether the rest of the file contains the header of a frame with a higher number.
func containsLaterFrame(reader io.Reader, number uint64) (bool, error) {
	window := make([]byte, 0, 1<<16)
	for {
		n, err := reader.Read(window[len(window):cap(window)])
		window = window[:len(window)+n]
		for offset := 0; offset+headerSize <= len(window); offset++ {
			next := bytes.Index(window[offset:], magic)
			if next < 0 {
				break
			}
			offset += next
			if h, ok := parseHeader(window[offset:]); ok && h.number > number {
				return true, nil
			}
		}
		if err != nil {
			return false, ignoreEOF(err)
		}
		// A header may span two reads, so the end of the window is kept.
		overlap := min(len(window), headerSize-1)
		window = window[:copy(window[:overlap], window[len(window)-overlap:])]
	}
}
