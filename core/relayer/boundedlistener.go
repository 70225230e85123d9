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
