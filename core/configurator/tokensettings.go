package configurator

import "fmt"

// TokenSettings are the tokens of one team or one operator.
type TokenSettings struct {
	Name    string        `yaml:"Name"`
	Digests []TokenDigest `yaml:"Digests"` // any of them is accepted, so that a token can be replaced
}

// maxDigests bounds the work for one request; replacing a token needs two.
const maxDigests = 4

func (s *TokenSettings) check(c checker, owners map[TokenDigest]string) {
	c.name("Name", s.Name)
	if len(s.Digests) == 0 || len(s.Digests) > maxDigests {
		c.add("Digests", "has %d items, expected 1 to %d", len(s.Digests), maxDigests)
	}
	for i, digest := range s.Digests {
		if owner, ok := owners[digest]; ok {
			c.add(fmt.Sprintf("Digests[%d]", i), "already belongs to %s", quote(owner))
		}
		owners[digest] = s.Name
	}
}
