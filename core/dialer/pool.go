package dialer

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/stats"

	"oleandertally/core/encoder"
)

// Pool shares one connection for each address. Its fields must be set before use. It is safe for
// concurrent use.
type Pool struct {
	Credentials credentials.TransportCredentials
	MaxMessage  int // bytes; default encoder.MaxMessage
	Stats       []stats.Handler

	mutex sync.Mutex
	conns map[netip.AddrPort]*grpc.ClientConn
}

// Conn returns the connection to addr. The connection is established in the background.
func (p *Pool) Conn(addr netip.AddrPort) (*grpc.ClientConn, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if conn := p.conns[addr]; conn != nil {
		return conn, nil
	}
	options := append(p.options(), grpc.WithContextDialer(func(ctx context.Context, _ string) (net.Conn, error) { return (&Redialer{}).Dial(ctx, addr) }))
	conn, err := grpc.NewClient("passthrough:///"+addr.String(), options...)
	if err != nil {
		return nil, errors.Wrapf(err, "dialer: connect to %s", addr)
	}
	if p.conns == nil {
		p.conns = make(map[netip.AddrPort]*grpc.ClientConn)
	}
	p.conns[addr] = conn
	return conn, nil
}

func (p *Pool) options() []grpc.DialOption {
	maxMessage := p.MaxMessage
	if maxMessage == 0 {
		maxMessage = encoder.MaxMessage
	}
	options := []grpc.DialOption{
		grpc.WithTransportCredentials(p.Credentials),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessage), grpc.MaxCallSendMsgSize(maxMessage)),
		// With gRPC's default maximum of two minutes, a process would stay disconnected long after its
		// peer has recovered.
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: 50 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: 500 * time.Millisecond},
			MinConnectTimeout: time.Second,
		}),
		// Behind a partition without resets, streams fail after Time plus Timeout.
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: 10 * time.Second, Timeout: 2 * time.Second}),
	}
	for _, handler := range p.Stats {
		options = append(options, grpc.WithStatsHandler(handler))
	}
	return options
}

// Reconnect begins an attempt to connect to addr at once, if a connection to it has failed and waits for the next attempt. It is called
// when the process at addr is known to run.
func (p *Pool) Reconnect(addr netip.AddrPort) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if conn := p.conns[addr]; conn != nil {
		conn.ResetConnectBackoff()
	}
}

// Close closes every connection.
func (p *Pool) Close() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, conn := range p.conns {
		conn.Close()
	}
	p.conns = nil
}
