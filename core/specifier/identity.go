package specifier

import "fmt"

// Identity names one run of one process.
type Identity struct {
	Name        string
	Incarnation Incarnation
}

// String returns the name and the incarnation in hexadecimal.
func (id Identity) String() string { return fmt.Sprintf("%s/%016x", id.Name, uint64(id.Incarnation)) }

// IsZero reports whether id names nothing.
func (id Identity) IsZero() bool { return id == Identity{} }
