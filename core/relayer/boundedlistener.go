package relayer

import (
	"net"
	"sync"
)

// boundedListener closes connections at once that exceed the number of its slots.
type boundedListener struct {
	*net.TCPListener
	slots *slots
}

// boundedConn releases its slot when it is closed.
type boundedConn struct {
	*net.TCPConn
	release func()
}

// Accept returns the next connection that has a slot.
func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.AcceptTCP()
		if err != nil {
			return nil, err
		}
		if l.slots.take() {
			return &boundedConn{TCPConn: conn, release: sync.OnceFunc(l.slots.release)}, nil
		}
		_ = conn.Close()
	}
}

// Close closes the connection and releases its slot.
func (c *boundedConn) Close() error {
	c.release()
	return c.TCPConn.Close()
}
