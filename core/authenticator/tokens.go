package authenticator

import (
	"crypto/subtle"

	"oleandertally/core/configurator"
)

// maxToken is the longest accepted token in bytes. It limits the hashing work for a hostile request.
const maxToken = 512

// Tokens holds the digests of the accepted tokens of each team or operator.
type Tokens struct {
	digests map[string][]configurator.TokenDigest // by name
	owners  map[configurator.TokenDigest]string   // name by digest
}

// NewTokens returns the Tokens that settings list.
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

// Check returns ErrUnauthorized unless token belongs to name. The error and the run time are the same for an
// unknown name as for a wrong token, so that names cannot be probed.
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

// checkAny returns ErrUnauthorized unless token belongs to any name. The map lookup need not take constant
// time: it uses the digest, and its timing reveals nothing about a token with another digest.
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
