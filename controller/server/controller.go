package server

import (
	"bytes"
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
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
	"oleandertally/core/operator"
	"oleandertally/core/specifier"
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
	Zone           string
	Addr           netip.AddrPort // gRPC
	DataFolder     string
	Peers          []Peer // every controller of the cluster, this one included
	Bootstrap      bool   // begin a new cluster of this controller alone; the others join it
	MemberLease    time.Duration
	MaxSubmissions int
	Consensus      replicator.Settings
	Credentials    credentials.TransportCredentials
	Log            zerolog.Logger

	mailbox   *mailer.Mailbox[driver.Event]
	registry  *registry
	disk      *disk
	peers     *peers
	joins     *calls[driver.JoinAnswered]
	operators *operators
	fault     chan error
}

// Check returns an error that names the first field that is missing.
func (c *Controller) Check() error {
	switch {
	case c.Name == "":
		return errors.New("controller: Name: is empty")
	case !c.Addr.IsValid():
		return errors.New("controller: Addr: is missing, expected IP:port")
	case c.DataFolder == "":
		return errors.New("controller: DataFolder: is empty")
	case !slices.ContainsFunc(c.Peers, func(p Peer) bool { return p.Name == c.Name }):
		return errors.Newf("controller: Peers: does not list %s", c.Name)
	case c.MemberLease <= 0:
		return errors.New("controller: MemberLease: expected more than 0")
	case c.MaxSubmissions <= 0:
		return errors.New("controller: MaxSubmissions: expected more than 0")
	case c.Credentials == nil:
		return errors.New("controller: Credentials: must be set")
	}
	return c.Consensus.Check()
}

// Run serves until ctx ends or the controller can't go on.
func (c *Controller) Run(ctx context.Context) error {
	if err := c.Check(); err != nil {
		return err
	}
	c.mailbox = mailer.NewMailbox[driver.Event](mailboxSize)
	c.registry = &registry{mailbox: c.mailbox}
	c.registry.last.Store(uint64(operatorStream))
	c.joins = &calls[driver.JoinAnswered]{mailbox: c.mailbox}
	c.operators = &operators{decisions: calls[specifier.Decision]{mailbox: c.mailbox}, reads: calls[driver.ReadAnswered]{mailbox: c.mailbox}}
	c.fault = make(chan error, 1)
	disk, recovered, err := openDisk(c.DataFolder, c.Log, c.mailbox)
	if err != nil {
		return errors.Wrap(err, "controller")
	}
	c.disk = disk
	err = c.serve(ctx, recovered)
	return errors.CombineErrors(err, disk.close())
}

func (c *Controller) serve(ctx context.Context, recovered recovery) error {
	machine, err := c.machine(recovered)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", c.Addr.String())
	if err != nil {
		return errors.Wrap(err, "controller: listen on Addr")
	}
	pool := &dialer.Pool{Credentials: c.Credentials}
	defer pool.Close()
	server := dialer.NewServer(c.Credentials)
	encoder.RegisterRegistryServer(server, c.registry)
	encoder.RegisterOperatorServer(server, &operator.Server{Propose: c.operators.propose, State: c.operators.read})
	transporter.RegisterReplicaServer(server, &replica{mailbox: c.mailbox, disk: c.disk, joins: c.joins})

	group, ctx := errgroup.WithContext(ctx)
	c.peers = &peers{group: group, ctx: ctx, pool: pool, disk: c.disk, mailbox: c.mailbox, settings: c.Peers}
	loop := &mailer.Loop[driver.Event, driver.Action]{Machine: machine, Mailbox: c.mailbox, Perform: c.perform, Clock: time.Now}
	group.Go(func() error { return c.disk.run(ctx) })
	group.Go(func() error { return c.disk.save(ctx) })
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
	group.Go(func() error { return c.begin(ctx, machine.Node.Self, pool) })
	return group.Wait()
}

// machine builds the control state from what the data folder held.
func (c *Controller) machine(recovered recovery) (*driver.Driver, error) {
	node := &replicator.Node{Self: replicator.ServerID{Name: c.Name, Disk: recovered.disk}, Settings: c.Consensus,
		Recovered: recovered.log, Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))}
	if err := node.Check(); err != nil {
		return nil, err
	}
	state := registrar.New(c.MaxSubmissions)
	if recovered.content != nil {
		var err error
		if state, err = registrar.Decode(bytes.NewReader(recovered.content), c.MaxSubmissions); err != nil {
			return nil, errors.Wrap(err, "controller: the newest snapshot")
		}
	}
	machine := &driver.Driver{Node: node, Sequencer: sequencer.New(c.MemberLease, state, node.Leading), Fault: c.fail,
		MaxSubmissions: c.MaxSubmissions, Zone: c.Zone}
	for _, peer := range c.Peers {
		machine.Names = append(machine.Names, peer.Name)
	}
	return machine, nil
}

// begin starts the log, and makes this controller a voter if it is not one.
func (c *Controller) begin(ctx context.Context, self replicator.ServerID, pool *dialer.Pool) error {
	server := replicator.Server{ID: self, Addr: c.Addr, Voter: true}
	events := []replicator.Event{replicator.Started{}}
	if c.Bootstrap {
		events = append(events, replicator.Bootstrap{Servers: []replicator.Server{server}})
	}
	for _, event := range events {
		if err := c.mailbox.Send(ctx, driver.Event{Log: event}); err != nil {
			return err
		}
	}
	if c.Bootstrap {
		return nil
	}
	joiner := &joiner{self: server, pool: pool, log: c.Log}
	for _, peer := range c.Peers {
		if peer.Name != c.Name {
			joiner.peers = append(joiner.peers, peer.Addr)
		}
	}
	if len(joiner.peers) == 0 {
		return nil
	}
	return joiner.run(ctx)
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
	switch {
	case action.Joined != nil:
		c.joins.answer(uint64(action.Joined.Ticket), *action.Joined)
	case action.Read != nil:
		c.operators.reads.answer(action.Read.Ticket, *action.Read)
	}
	switch control := action.Control.(type) {
	case sequencer.Decide:
		if control.Stream == operatorStream {
			c.operators.decisions.answer(control.Sequence, control.Decision)
			break
		}
		c.registry.propose.put(control.Stream, &encoder.Verdict{Sequence: control.Sequence, Decision: encoder.EncodeDecision(control.Decision)})
	case sequencer.Push:
		c.registry.attend.put(control.Stream, control.Update)
	}
	switch log := action.Log.(type) {
	case replicator.Persist, replicator.Append, replicator.Truncate, replicator.Compact, replicator.Restore:
		c.disk.queue.Put(action)
	case replicator.SaveSnapshot:
		c.disk.saves.Put(action)
	case replicator.Send:
		c.peers.send(log.Envelope)
	case replicator.SendSnapshot:
		c.peers.sendSnapshot(log)
	case replicator.MembershipChanged:
		c.peers.servers = log.Servers
	}
}
