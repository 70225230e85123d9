package specifier

import (
	"crypto/sha256"
	"encoding/binary"
	"hash"
)

// hasher hashes each field with its length, so that two different sequences of fields never hash the same bytes.
type hasher struct {
	hash hash.Hash
}

func newHasher() hasher { return hasher{sha256.New()} }

func (h hasher) number(value uint64) {
	var raw [8]byte
	binary.BigEndian.PutUint64(raw[:], value)
	h.hash.Write(raw[:])
}

func (h hasher) field(text []byte) {
	h.number(uint64(len(text)))
	h.hash.Write(text)
}

func (h hasher) sum() Digest { return Digest(h.hash.Sum(nil)) }
