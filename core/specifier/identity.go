package specifier

import (
	"cmp"
	"fmt"
	"strings"
)

// Identity names one incarnation of a process.
type Identity struct {
	Name        string
	Incarnation Incarnation
}

// String returns the name and the incarnation in hexadecimal.
func (id Identity) String() string { return fmt.Sprintf("%s/%016x", id.Name, uint64(id.Incarnation)) }

// Compare orders identities by name and then by incarnation.
func (id Identity) Compare(other Identity) int {
	return cmp.Or(strings.Compare(id.Name, other.Name), cmp.Compare(id.Incarnation, other.Incarnation))
}

// IsZero reports whether id names nothing.
func (id Identity) IsZero() bool { return id == Identity{} }
