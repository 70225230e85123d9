package locator

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"oleandertally/core/dialer"
)

const (
	// dialTimeout is how long a connection to a controller may take to open.
	dialTimeout = 400 * time.Millisecond
	// relayTimeout is how long a connection through a relay may take to open. After the loss of a stream, two relays that do not
	// answer can be tried within the span of a grant.
	relayTimeout = 250 * time.Millisecond
)

// errRelayRefused is the error of a relay that answered a request with another status than 200.
var errRelayRefused = errors.New("the relay refused the connection")

// tunnel is a connection through a relay.
type tunnel struct {
	net.Conn
	reader *bufio.Reader // may hold bytes of the controller that arrived with the relay's answer
}

// Read reads what the controller sent.
func (t *tunnel) Read(p []byte) (int, error) { return t.reader.Read(p) }

// dial connects to the controller. The connection fails soon after the other side stops acknowledging sent bytes.
func (r route) dial(ctx context.Context) (net.Conn, error) {
	if !r.isRelayed() {
		redialer := dialer.Redialer{Timeout: dialTimeout, Control: dialer.NewTCP(dialTimeout).Control}
		return redialer.Dial(ctx, r.controller)
	}
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	conn, err := dialer.NewTCP(relayTimeout).DialContext(ctx, "tcp", r.relay.String())
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(0, 0)) })
	reader, err := r.connect(conn)
	if !stop() {
		err = errors.CombineErrors(err, context.Cause(ctx))
	}
	if err != nil {
		_ = conn.Close()
		return nil, errors.Wrapf(err, "locator: connect to %s", r)
	}
	return &tunnel{Conn: conn, reader: reader}, nil
}

// connect asks the relay for the controller.
func (r route) connect(conn net.Conn) (*bufio.Reader, error) {
	target := r.controller.String()
	request := &http.Request{Method: http.MethodConnect, URL: &url.URL{Opaque: target}, Host: target}
	if err := request.Write(conn); err != nil {
		return nil, err
	}
	reader := bufio.NewReader(conn)
	response, err := http.ReadResponse(reader, request)
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		return nil, errors.Wrap(errRelayRefused, response.Status)
	}
	return reader, nil
}
