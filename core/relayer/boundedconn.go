package relayer

import "net"

// boundedConn releases its slot when it is closed.
type boundedConn struct {
	*net.TCPConn
	release func()
}

// Close closes the connection and releases its slot.
func (c *boundedConn) Close() error {
	c.release()
	return c.TCPConn.Close()
}
