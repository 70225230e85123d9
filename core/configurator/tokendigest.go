package configurator

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
)

// TokenDigest is the SHA-256 digest of a token, written in settings as 64 hexadecimal digits.
// Settings hold no tokens, so that reading them does not let anyone act as a team or an operator.
type TokenDigest [sha256.Size]byte

// NewTokenDigest returns the digest of token.
func NewTokenDigest(token string) TokenDigest { return sha256.Sum256([]byte(token)) }

// UnmarshalText accepts 64 hexadecimal digits. Its error does not repeat the text, which may be
// a token that was put here by mistake.
func (d *TokenDigest) UnmarshalText(text []byte) error {
	if len(text) == 2*len(d) {
		if _, err := hex.Decode(d[:], text); err == nil {
			return nil
		}
	}
	return errors.New("expected the SHA-256 digest of a token as 64 hexadecimal digits")
}

// MarshalText is the inverse of UnmarshalText.
func (d TokenDigest) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// String returns 64 hexadecimal digits.
func (d TokenDigest) String() string { return hex.EncodeToString(d[:]) }
