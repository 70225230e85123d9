package replicator

import (
	"cmp"
	"fmt"
	"strings"
)

// ServerID identifies a server together with the disk that stores its log and votes.
type ServerID struct {
	Name string
	Disk uint64 // random, created with the data folder
}

// IsZero reports whether id identifies no server.
func (id ServerID) IsZero() bool { return id == ServerID{} }

// Compare orders identities by name, then by disk.
func (id ServerID) Compare(other ServerID) int {
	return cmp.Or(strings.Compare(id.Name, other.Name), cmp.Compare(id.Disk, other.Disk))
}

// String returns the name and the disk identity in hexadecimal.
func (id ServerID) String() string { return fmt.Sprintf("%s/%016x", id.Name, id.Disk) }
