package configurator

import "fmt"

// TokenSettings are the tokens of one team or one operator.
type TokenSettings struct {
	Name    string        `yaml:"Name"`
	Digests []TokenDigest `yaml:"Digests"` // a token that matches any of them is accepted, so that tokens can be rotated
}

// maxDigests limits the comparisons for one request. Rotating a token needs two digests.
const maxDigests = 4

// check records in owners which name each digest belongs to, and reports a digest that occurs twice.
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
