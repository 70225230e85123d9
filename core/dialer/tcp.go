package dialer

import (
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// UnackedTimeout is how long sent bytes may stay unacknowledged before a connection is treated as broken.
const UnackedTimeout = 800 * time.Millisecond

// NewTCP returns a dialer that gives up after timeout. Its connections fail soon after the other side stops acknowledging sent
// bytes.
func NewTCP(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, Control: func(_, _ string, raw syscall.RawConn) error { return limitUnacked(raw) }}
}

// LimitUnacked makes an accepted connection fail soon after the other side stops acknowledging sent bytes.
func LimitUnacked(conn *net.TCPConn) error {
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	return limitUnacked(raw)
}

func limitUnacked(raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(UnackedTimeout.Milliseconds()))
	})
	return errors.CombineErrors(err, failed)
}
