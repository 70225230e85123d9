package relayer

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"oleandertally/core/dialer"
	"oleandertally/core/supervisor"
)

const (
	// maxTunnels bounds the relayed connections of one relay.
	maxTunnels = 64
	// maxConnections bounds the client connections, those without a request included, to keep descriptors for the process's own
	// work.
	maxConnections = 2 * maxTunnels
	dialTimeout    = 400 * time.Millisecond
	// headerTimeout bounds the wait for a request on an open connection.
	headerTimeout = time.Second
	maxHeader     = 4 << 10 // bytes
	// faultInterval is the least time between two log lines for the same reason.
	faultInterval = 5 * time.Second
	established   = "HTTP/1.1 200 Connection established\r\n\r\n"
)

// Relayer is a relay. Exported fields are set before Open.
type Relayer struct {
	Addr    netip.AddrPort                   // to listen on
	Allowed func(target netip.AddrPort) bool // reports whether a target is a known controller; must not block
	Meter   Meter
	Clock   func() time.Time // must advance while the host is suspended
	Rate    int              // bytes per second that all connections may carry together; 0 for no bound
	Log     zerolog.Logger

	listener *net.TCPListener
	tunnels  slots
	bucket   bucket
	faults   *supervisor.FaultLog
}

// Open listens at Addr.
func (r *Relayer) Open() error {
	if !r.Addr.IsValid() || r.Allowed == nil || r.Meter == nil || r.Clock == nil {
		return errors.New("relayer: Addr, Allowed, Meter, Clock: must be set")
	}
	r.tunnels.max, r.bucket.rate = maxTunnels, r.Rate
	r.faults = supervisor.NewFaultLog(r.Log, faultInterval, r.Clock)
	var err error
	r.listener, err = net.ListenTCP("tcp", net.TCPAddrFromAddrPort(r.Addr))
	return errors.Wrapf(err, "relayer: listen on %s", r.Addr)
}

// Listening returns the address at which the relay listens. Open must be called before.
func (r *Relayer) Listening() netip.AddrPort { return r.listener.Addr().(*net.TCPAddr).AddrPort() }

// Run serves until ctx ends, closes every connection and returns. Open must be called before.
func (r *Relayer) Run(ctx context.Context) error {
	server := &http.Server{Handler: r, ReadHeaderTimeout: headerTimeout, IdleTimeout: headerTimeout, MaxHeaderBytes: maxHeader,
		BaseContext: func(net.Listener) context.Context { return ctx }}
	err := supervisor.Serve(server, &boundedListener{TCPListener: r.listener, slots: &slots{max: maxConnections}})(ctx)
	<-r.tunnels.close()
	return err
}

// ServeHTTP answers a request, and after a CONNECT to an allowed target copies until the tunnel ends.
func (r *Relayer) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	w.Header().Set("Connection", "close")
	if request.Method != http.MethodConnect {
		w.Header().Set("Allow", http.MethodConnect)
		r.refuse(w, request, http.StatusMethodNotAllowed, BadRequest, errors.Newf("got method %q, expected CONNECT", request.Method))
		return
	}
	target, err := netip.ParseAddrPort(request.RequestURI)
	if err != nil {
		r.refuse(w, request, http.StatusBadRequest, BadRequest, errors.Newf("got target %q, expected IP:port", request.RequestURI))
		return
	}
	if !r.Allowed(target) {
		r.refuse(w, request, http.StatusForbidden, UnknownTarget, errors.Newf("got target %s, expected the address of a known controller", target))
		return
	}
	if !r.tunnels.take() {
		r.refuse(w, request, http.StatusServiceUnavailable, Full, errors.Newf("%d connections are open, try another relay", maxTunnels))
		return
	}
	defer r.tunnels.release()
	conn, err := dialer.NewTCP(dialTimeout).DialContext(request.Context(), "tcp", target.String())
	if err != nil {
		r.refuse(w, request, http.StatusBadGateway, Unreachable, err)
		return
	}
	defer conn.Close()
	if err := r.relay(w, request, target, conn.(*net.TCPConn)); err != nil {
		r.faults.Report(supervisor.Fields{Event: "RelayFailed", Peer: host(request)}, err)
	}
}

func (r *Relayer) refuse(w http.ResponseWriter, request *http.Request, status int, reason Reason, err error) {
	r.Meter.Refused(reason)
	err = errors.Wrap(err, string(reason))
	r.faults.Report(supervisor.Fields{Event: "RelayRefused", Peer: host(request)}, err)
	http.Error(w, err.Error(), status)
}

// host returns the client's address without its port, which differs with each connection and would defeat the limit of log lines.
func host(request *http.Request) string {
	addr, _, err := net.SplitHostPort(request.RemoteAddr)
	if err != nil {
		return request.RemoteAddr
	}
	return addr
}

// relay takes the client's connection over from the HTTP server and runs a tunnel. It returns an error if there was no tunnel.
func (r *Relayer) relay(w http.ResponseWriter, request *http.Request, target netip.AddrPort, conn *net.TCPConn) error {
	hijacked, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return errors.Wrap(err, "relayer: take the connection over")
	}
	defer hijacked.Close()
	client := hijacked.(*boundedConn).TCPConn
	if err := errors.CombineErrors(dialer.LimitUnacked(client), client.SetDeadline(time.Time{})); err != nil {
		return errors.Wrap(err, "relayer: prepare the connection")
	}
	early, err := buffered.Reader.Peek(buffered.Reader.Buffered())
	if err != nil {
		return errors.Wrap(err, "relayer: read what the client sent early")
	}
	began, bytes := r.Clock(), counter{meter: r.Meter}
	// The watch starts before the client may send, so that a stall right after the answer is noticed too.
	tunnel := &tunnel{client: client, target: conn, clock: r.Clock, watch: newWatch(began), bucket: &r.bucket, copied: bytes.add}
	if _, err := client.Write([]byte(established)); err != nil {
		return errors.Wrap(err, "relayer: answer the client")
	}
	r.Meter.Opened()
	defer r.Meter.Closed()
	r.event("RelayOpened", request, target).Send()
	cause := tunnel.run(request.Context(), early)
	r.event("RelayClosed", request, target).Dur("AgeMillis", r.Clock().Sub(began)).Int64("Bytes", bytes.total.Load()).AnErr("Cause", cause).Send()
	return nil
}

func (r *Relayer) event(name string, request *http.Request, target netip.AddrPort) *zerolog.Event {
	return r.Log.Info().Str(supervisor.FieldEvent, name).Str(supervisor.FieldPeer, request.RemoteAddr).Stringer("Controller", target)
}
