package authenticator

import (
	"crypto/subtle"

	"oleandertally/core/configurator"
)

// maxToken bounds what is hashed for a request that may be hostile, in bytes.
const maxToken = 512

// Tokens are the digests of the tokens of each name.
type Tokens struct {
	digests map[string][]configurator.TokenDigest
	owners  map[configurator.TokenDigest]string
}

// NewTokens returns the tokens of settings.
func NewTokens(settings []configurator.TokenSettings) Tokens {
	t := Tokens{make(map[string][]configurator.TokenDigest), make(map[configurator.TokenDigest]string)}
	for _, token := range settings {
		t.digests[token.Name] = append(t.digests[token.Name], token.Digests...)
		for _, digest := range token.Digests {
			t.owners[digest] = token.Name
		}
	}
	return t
}

// Check returns ErrUnauthorized unless token belongs to name. The error and the time are the
// same for an unknown name, so that names cannot be found out.
func (t Tokens) Check(name, token string) error {
	if len(token) > maxToken {
		return ErrUnauthorized
	}
	given := configurator.NewTokenDigest(token)
	digests, known := t.digests[name]
	if !known {
		digests = make([]configurator.TokenDigest, 1)
	}
	equal := 0
	for _, digest := range digests {
		equal |= subtle.ConstantTimeCompare(given[:], digest[:])
	}
	if equal == 0 || !known || token == "" {
		return ErrUnauthorized
	}
	return nil
}

// checkAny returns ErrUnauthorized unless token belongs to some name. The lookup is by digest,
// whose timing tells nothing about a token that hashes to another one.
func (t Tokens) checkAny(token string) error {
	if token == "" || len(token) > maxToken {
		return ErrUnauthorized
	}
	owner, known := t.owners[configurator.NewTokenDigest(token)]
	if !known {
		return ErrUnauthorized
	}
	return t.Check(owner, token)
}
