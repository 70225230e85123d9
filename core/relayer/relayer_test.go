package relayer

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sys/unix"
)

// fixture is a relay on loopback with one allowed target, whose connections the test accepts.
type fixture struct {
	t      *testing.T
	addr   string
	target *net.TCPListener

	mutex   sync.Mutex
	now     time.Time // added to the clock by advance
	refused []Reason
}

func (f *fixture) Opened()    {}
func (f *fixture) Closed()    {}
func (f *fixture) Copied(int) {}
func (f *fixture) Refused(r Reason) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.refused = append(f.refused, r)
}

func (f *fixture) clock() time.Time {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.now
}

func (f *fixture) advance(span time.Duration) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.now = f.now.Add(span)
}

// allowed lists the targets beside the fixture's own.
func newFixture(t *testing.T, allowed ...netip.AddrPort) *fixture {
	t.Helper()
	target, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	must.NoError(t, err)
	f := &fixture{t: t, target: target, now: moment(0)}
	relay := &Relayer{Addr: netip.MustParseAddrPort("127.0.0.1:0"), Meter: f, Clock: f.clock, Log: zerolog.Nop(),
		Allowed: func(addr netip.AddrPort) bool {
			return addr.String() == target.Addr().String() || len(allowed) > 0 && addr == allowed[0]
		}}
	must.NoError(t, relay.Open())
	f.addr = relay.Listening().String()
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return relay.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		must.NoError(t, group.Wait())
		must.NoError(t, target.Close())
	})
	return f
}

// send opens a connection to the relay and sends a request, and returns the relay's answer.
func (f *fixture) send(request string) (net.Conn, *bufio.Reader, int) {
	f.t.Helper()
	conn, err := net.Dial("tcp", f.addr)
	must.NoError(f.t, err)
	f.t.Cleanup(func() { _ = conn.Close() })
	_, err = conn.Write([]byte(request))
	must.NoError(f.t, err)
	reader := bufio.NewReader(conn)
	response, err := http.ReadResponse(reader, &http.Request{Method: http.MethodConnect})
	must.NoError(f.t, err)
	return conn, reader, response.StatusCode
}

// open opens a tunnel to the target and returns both ends. early is sent with the request.
func (f *fixture) open(early string) (client net.Conn, target net.Conn) {
	f.t.Helper()
	client, _, status := f.send(fmt.Sprintf("CONNECT %s HTTP/1.1\r\nHost: x\r\n\r\n%s", f.target.Addr(), early))
	must.Eq(f.t, http.StatusOK, status)
	target, err := f.target.Accept()
	must.NoError(f.t, err)
	f.t.Cleanup(func() { _ = target.Close() })
	return client, target
}

// mustCarry checks that a tunnel carries content in one direction.
func mustCarry(t *testing.T, to, from net.Conn, content []byte) {
	t.Helper()
	var group errgroup.Group
	group.Go(func() error { _, err := from.Write(content); return err })
	got := make([]byte, len(content))
	_, err := io.ReadFull(to, got)
	must.NoError(t, err)
	must.NoError(t, group.Wait())
	must.True(t, bytes.Equal(content, got))
}

// mustEnd checks that nothing but want arrives before the connection ends.
func mustEnd(t *testing.T, conn net.Conn, want string) {
	t.Helper()
	got, _ := io.ReadAll(conn) // a reset ends it too
	must.Eq(t, want, string(got))
}

// fullListener returns the address of a listener on loopback that answers no further connection.
func fullListener(t *testing.T) netip.AddrPort {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM, 0)
	must.NoError(t, err)
	t.Cleanup(func() { _ = unix.Close(fd) })
	must.NoError(t, unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	must.NoError(t, unix.Listen(fd, 0))
	name, err := unix.Getsockname(fd)
	must.NoError(t, err)
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(name.(*unix.SockaddrInet4).Port))
	conn, err := net.Dial("tcp", addr.String()) // fills the backlog
	must.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return addr
}

// Guards against requests that end the relay or its host's entry, reach other hosts than controllers, or get no answer.
func TestRefusals(t *testing.T) {
	full := fullListener(t)
	f := newFixture(t, full)
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	must.NoError(t, closed.Close())
	for _, c := range []struct {
		name, request string
		status        int
		reason        Reason
	}{
		{"another method", "GET / HTTP/1.1\r\nHost: x\r\n\r\n", http.StatusMethodNotAllowed, BadRequest},
		{"a host name", "CONNECT localhost:80 HTTP/1.1\r\nHost: x\r\n\r\n", http.StatusBadRequest, BadRequest},
		{"no port", "CONNECT 127.0.0.1 HTTP/1.1\r\nHost: x\r\n\r\n", http.StatusBadRequest, BadRequest},
		{"not HTTP", "\x16\x03\x01\r\n\r\n", http.StatusBadRequest, ""},
		{"a header that is too long", "CONNECT 127.0.0.1:1 HTTP/1.1\r\nHost: x\r\nX: " + strings.Repeat("x", 64<<10) + "\r\n\r\n", http.StatusRequestHeaderFieldsTooLarge, ""},
		{"a target that is no controller", fmt.Sprintf("CONNECT %s HTTP/1.1\r\nHost: x\r\n\r\n", closed.Addr()), http.StatusForbidden, UnknownTarget},
		{"the relay itself", fmt.Sprintf("CONNECT %s HTTP/1.1\r\nHost: x\r\n\r\n", f.addr), http.StatusForbidden, UnknownTarget},
		{"a target that does not answer", fmt.Sprintf("CONNECT %s HTTP/1.1\r\nHost: x\r\n\r\n", full), http.StatusBadGateway, Unreachable},
	} {
		t.Run(c.name, func(t *testing.T) {
			before := len(f.refused)
			_, _, status := f.send(c.request)
			must.Eq(t, c.status, status)
			f.mutex.Lock()
			defer f.mutex.Unlock()
			if c.reason != "" {
				must.Eq(t, []Reason{c.reason}, f.refused[before:])
			}
		})
	}
	t.Run("the relay still works", func(t *testing.T) {
		client, target := f.open("")
		mustCarry(t, target, client, []byte("call"))
	})
}

func TestTunnels(t *testing.T) {
	t.Run("bytes arrive unchanged in both directions", func(t *testing.T) {
		client, target := newFixture(t).open("")
		content := bytes.Repeat([]byte("0123456789abcde"), 100_000)
		mustCarry(t, target, client, content)
		mustCarry(t, client, target, content)
	})
	t.Run("bytes that are sent with the request arrive", func(t *testing.T) {
		_, target := newFixture(t).open("early")
		got := make([]byte, len("early"))
		_, err := io.ReadFull(target, got)
		must.NoError(t, err)
		must.Eq(t, "early", string(got))
	})
	t.Run("replies that a controller sent before its end are delivered", func(t *testing.T) {
		client, target := newFixture(t).open("")
		_, err := target.Write([]byte("reply"))
		must.NoError(t, err)
		must.NoError(t, target.Close())
		mustEnd(t, client, "reply")
	})
	t.Run("a client that ends in the middle of a message ends the stream at the controller", func(t *testing.T) {
		// Guards against streams of lost agents that stay open at the leader.
		client, target := newFixture(t).open("")
		_, err := client.Write([]byte("trunc"))
		must.NoError(t, err)
		must.NoError(t, client.Close())
		mustEnd(t, target, "trunc")
	})
	t.Run("a client that resets its connection ends the stream at the controller", func(t *testing.T) {
		client, target := newFixture(t).open("")
		must.NoError(t, client.(*net.TCPConn).SetLinger(0))
		must.NoError(t, client.Close())
		mustEnd(t, target, "")
	})
	t.Run("bytes that waited while the relay stood still are discarded", func(t *testing.T) {
		f := newFixture(t)
		client, target := f.open("")
		f.advance(2 * stallTimeout)
		_, err := client.Write([]byte("late"))
		must.NoError(t, err)
		mustEnd(t, target, "")
	})
	t.Run("the clock is read before the client may send", func(t *testing.T) {
		// Guards against a stall right after the answer that is not noticed, because the watch starts behind it.
		f := newFixture(t)
		conn, err := net.Dial("tcp", f.addr)
		must.NoError(t, err)
		defer conn.Close()
		f.mutex.Lock() // blocks the relay's clock
		_, err = fmt.Fprintf(conn, "CONNECT %s HTTP/1.1\r\nHost: x\r\n\r\n", f.target.Addr())
		must.NoError(t, err)
		must.NoError(t, conn.SetReadDeadline(time.Now().Add(100*time.Millisecond)))
		_, err = conn.Read(make([]byte, 1))
		f.mutex.Unlock()
		must.ErrorIs(t, err, os.ErrDeadlineExceeded)
	})
	t.Run("a controller that stops reading ends its own connection only", func(t *testing.T) {
		// Guards against a frozen leader that blocks the clients of other controllers.
		f := newFixture(t)
		client, _ := f.open("")
		var group errgroup.Group
		group.Go(func() error { _, err := io.Copy(client, zeros{}); return err })
		other, target := f.open("")
		mustCarry(t, target, other, []byte("call"))
		must.Error(t, group.Wait())
		mustCarry(t, target, other, []byte("call"))
	})
	t.Run("the 65th connection is refused until another one ends", func(t *testing.T) {
		f := newFixture(t)
		request := fmt.Sprintf("CONNECT %s HTTP/1.1\r\nHost: x\r\n\r\n", f.target.Addr())
		client, target := f.open("")
		for range maxTunnels - 1 {
			f.open("")
		}
		_, _, status := f.send(request)
		must.Eq(t, http.StatusServiceUnavailable, status)
		must.NoError(t, client.Close())
		mustEnd(t, target, "")
		must.NoError(t, target.Close())
		for status != http.StatusOK { // until the relay has seen the end
			_, _, status = f.send(request)
		}
	})
	t.Run("each connection that ends makes room for another", func(t *testing.T) {
		// Guards against a relay that counts ended connections until it accepts no more.
		f := newFixture(t)
		for range 2 * maxConnections {
			client, target := f.open("")
			must.NoError(t, client.Close())
			mustEnd(t, target, "")
			must.NoError(t, target.Close())
		}
	})
}

// zeros is an endless reader.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }
