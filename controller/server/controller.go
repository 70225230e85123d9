package server

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc/credentials"

	"oleandertally/controller/driver"
	"oleandertally/controller/sequencer"
	"oleandertally/core/dialer"
	"oleandertally/core/encoder"
	"oleandertally/core/mailer"
	"oleandertally/state/registrar"
	"oleandertally/state/replicator"
	"oleandertally/state/transporter"
)

const (
	mailboxSize = 8192
	closeBound  = time.Second
)

// Controller is one controller process. Exported fields are set before Run.
type Controller struct {
	Name           string
	Addr           netip.AddrPort // gRPC
	Servers        []replicator.Server
	MemberLease    time.Duration
	MaxSubmissions int
	Credentials    credentials.TransportCredentials
	Log            zerolog.Logger

	mailbox  *mailer.Mailbox[driver.Event]
	registry *registry
	disk     *memory
	peers    map[netip.AddrPort]*peer
	driver   *driver.Driver
	fault    chan error
}

// Check returns an error that names the first field that is missing.
func (c *Controller) Check() error {
	switch {
	case c.Name == "":
		return errors.New("controller: Name: is empty")
	case !c.Addr.IsValid():
		return errors.New("controller: Addr: is missing, expected IP:port")
	case len(c.Servers) == 0:
		return errors.New("controller: Servers: is empty")
	case c.MemberLease <= 0:
		return errors.New("controller: MemberLease: expected more than 0")
	case c.MaxSubmissions <= 0:
		return errors.New("controller: MaxSubmissions: expected more than 0")
	case c.Credentials == nil:
		return errors.New("controller: Credentials: must be set")
	}
	return nil
}

// Run serves until ctx ends or the controller can't go on.
func (c *Controller) Run(ctx context.Context) error {
	if err := c.Check(); err != nil {
		return err
	}
	c.mailbox = mailer.NewMailbox[driver.Event](mailboxSize)
	c.registry = &registry{mailbox: c.mailbox}
	c.fault = make(chan error, 1)
	c.peers = make(map[netip.AddrPort]*peer)
	pool := &dialer.Pool{Credentials: c.Credentials}
	defer pool.Close()

	node := &replicator.Node{Settings: replicator.Defaults(), Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))}
	for _, server := range c.Servers {
		if server.ID.Name == c.Name {
			node.Self = server.ID
		}
	}
	if err := node.Check(); err != nil {
		return err
	}
	c.driver = &driver.Driver{Node: node, Fault: c.fail}
	c.driver.Sequencer = sequencer.New(c.MemberLease, registrar.New(c.MaxSubmissions), node.Leading)
	c.driver.Learn(c.Servers)

	listener, err := net.Listen("tcp", c.Addr.String())
	if err != nil {
		return errors.Wrap(err, "controller: listen on Addr")
	}
	server := dialer.NewServer(c.Credentials)
	encoder.RegisterRegistryServer(server, c.registry)
	transporter.RegisterReplicaServer(server, &replica{mailbox: c.mailbox})

	group, ctx := errgroup.WithContext(ctx)
	c.disk = &memory{box: mailer.NewOutbox[replicator.Write](), mailbox: c.mailbox}
	group.Go(func() error { return c.disk.run(ctx) })
	for _, each := range c.Servers {
		if each.ID == node.Self {
			continue
		}
		peer := &peer{addr: each.Addr, pool: pool, box: mailer.NewOutbox[replicator.Envelope]()}
		c.peers[each.Addr] = peer
		group.Go(func() error { return peer.run(ctx) })
	}
	loop := &mailer.Loop[driver.Event, driver.Action]{Machine: c.driver, Mailbox: c.mailbox, Perform: c.perform, Clock: time.Now}
	group.Go(func() error { return loop.Run(ctx) })
	group.Go(func() error { return errors.Wrap(server.Serve(listener), "controller: serve") })
	group.Go(func() error {
		defer server.Stop()
		select {
		case err := <-c.fault:
			return err
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	})
	for _, event := range []replicator.Event{replicator.Started{}, replicator.Bootstrap{Servers: c.Servers}} {
		if err := c.mailbox.Send(ctx, driver.Event{Log: event}); err != nil {
			return err
		}
	}
	return group.Wait()
}

// fail stops the controller with the first fault.
func (c *Controller) fail(err error) {
	select {
	case c.fault <- err:
	default:
	}
}

// perform runs on the control goroutine and does not block.
func (c *Controller) perform(action driver.Action) {
	switch action := action.Control.(type) {
	case sequencer.Decide:
		c.registry.propose.put(action.Stream, &encoder.Verdict{Sequence: action.Sequence, Decision: encoder.EncodeDecision(action.Decision)})
	case sequencer.Push:
		c.registry.attend.put(action.Stream, action.Update)
	}
	switch action := action.Log.(type) {
	case replicator.Persist:
		c.disk.box.Put(action.Write)
	case replicator.Append:
		c.disk.box.Put(action.Write)
	case replicator.Truncate:
		c.disk.box.Put(action.Write)
	case replicator.Send:
		for _, server := range c.Servers {
			if server.ID == action.Envelope.To {
				c.peers[server.Addr].box.Put(action.Envelope)
			}
		}
	}
}
