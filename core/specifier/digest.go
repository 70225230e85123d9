package specifier

import (
	"crypto/sha256"
	"encoding/binary"
)

// Digest identifies the content of a submission: team, profile and tasks. It leaves the
// time left out, because a caller that resubmits has less of it.
type Digest [32]byte

// NewDigest returns the digest of job.
func NewDigest(job Job) Digest {
	hash := sha256.New()
	field := func(text []byte) {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(text)))
		hash.Write(size[:])
		hash.Write(text)
	}
	field([]byte(job.Team))
	field([]byte(job.Profile))
	for _, task := range job.Tasks {
		field([]byte(task.ID))
		field(task.Payload)
	}
	return Digest(hash.Sum(nil))
}
