package specifier

import (
	"crypto/sha256"
	"encoding/hex"
)

// JobID identifies a submission: a hash of its team and idempotency key, so that every
// entry derives the same ID from the same request.
type JobID [16]byte

// NewJobID derives the ID of the submission that team made under key.
func NewJobID(team, key string) JobID {
	sum := sha256.Sum256([]byte(team + "\x00" + key))
	return JobID(sum[:16])
}

// String returns the ID as 32 hexadecimal digits.
func (id JobID) String() string { return hex.EncodeToString(id[:]) }
