package configurator

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
)

// TokenDigest is the SHA-256 digest of a token, written in settings as 64 hexadecimal digits.
// Settings hold digests instead of tokens, so that a reader of the settings cannot impersonate a team
// or an operator.
type TokenDigest [sha256.Size]byte

// NewTokenDigest returns the digest of token.
func NewTokenDigest(token string) TokenDigest { return sha256.Sum256([]byte(token)) }

// UnmarshalText parses 64 hexadecimal digits. The error does not repeat the text, which may be a token
// that was entered by mistake.
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

// String returns the digest as 64 hexadecimal digits.
func (d TokenDigest) String() string { return hex.EncodeToString(d[:]) }
