package relayer

import "github.com/cockroachdb/errors"

// The causes of the end of a tunnel.
var (
	// ErrEnded means that one end closed its connection.
	ErrEnded = errors.New("relayer: one end closed the connection")
	// ErrIdle means that no byte arrived within idleTimeout.
	ErrIdle = errors.New("relayer: no byte in either direction for too long")
	// ErrStalled means that the process stood still. The bytes that waited meanwhile are discarded, because both ends may have
	// given the connection up and repeated its messages on another one.
	ErrStalled = errors.New("relayer: the relay stood still")
)
