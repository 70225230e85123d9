package server

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"google.golang.org/grpc"

	"oleandertally/controller/dispatcher"
	"oleandertally/controller/driver"
	"oleandertally/controller/sequencer"
	"oleandertally/core/authenticator"
	"oleandertally/core/configurator"
	"oleandertally/core/dialer"
	"oleandertally/core/encoder"
	"oleandertally/core/exporter"
	"oleandertally/core/looper"
	"oleandertally/core/operator"
	"oleandertally/core/recorder"
	"oleandertally/core/specifier"
	"oleandertally/core/supervisor"
	"oleandertally/state/jobrecorder"
	"oleandertally/state/registrar"
	"oleandertally/state/replicator"
	"oleandertally/state/transporter"
)

const (
	mailboxSize  = 8192
	maxEvents    = 16384
	closeTimeout = time.Second
)

// Controller is one controller process. Exported fields are set before Run.
type Controller struct {
	Name           string
	Zone           string
	Addr           netip.AddrPort // gRPC, as others reach it
	ListenAddr     netip.AddrPort // differs from Addr behind a port forwarder; zero for Addr
	DataFolder     string
	DiskLimit      configurator.ByteSize // room for DataFolder, which bounds the log; 0 for no limit
	Peers          []Peer                // every controller of the cluster, this one included
	Bootstrap      bool                  // begin a new cluster of this controller alone; the others join it
	BootstrapIfNew bool                  // like Bootstrap, but only if the data folder is new
	MemberLease    time.Duration
	MaxSubmissions int
	Consensus      replicator.Settings
	MaxBatch       int                 // commands in one log entry; 0 is specifier.MaxBatch
	OpenMembership bool                // controllers that Peers does not list may join
	MinVoters      int                 // voters that the log must have before the queues accept anything
	VoterTimeout   time.Duration       // how long a voter may be unreachable before it is removed while there are more than MinVoters; 0 for never
	Queues         dispatcher.Settings // default dispatcher.Defaults()
	JobRetention   time.Duration       // how long an ended job of a queue is kept; default 10 minutes
	Clock          func() time.Time    // default time.Now; must advance while the host is suspended
	MaxMessage     configurator.ByteSize
	Security       *authenticator.Authenticator
	Metrics        *exporter.Controller
	Health         *supervisor.Health // with Conditions
	Events         *recorder.Buffer   // default: a new buffer
	Log            zerolog.Logger
	Logged         func(dispatcher.LogEvent) // called for each decision on queues; must not block; may be nil

	mailbox       *looper.Mailbox[driver.Event]
	registry      *registry
	queues        *queues
	disk          *disk
	peers         *peers
	joins         *pendingCalls[driver.JoinAnswered]
	operators     *operators
	transfers     *pendingCalls[driver.LeadershipTransferred]
	measures      *pendingCalls[driver.Measured]
	fault         chan error
	ended         chan struct{} // closed when Run has returned
	recovered     recovery
	machine       *driver.Driver
	listener      net.Listener
	segmentSize   int64                             // size in bytes at which a file of the log is full; 0 for the journal's default
	serverOptions []grpc.ServerOption               // added by tests
	openFolder    func(path string) (folder, error) // nil for the file system; tests inject faults
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
	case c.DiskLimit < 0:
		return errors.Newf("controller: DiskLimit: got %d, expected at least 0", c.DiskLimit)
	case c.MemberLease <= 0:
		return errors.New("controller: MemberLease: expected more than 0")
	case c.MaxSubmissions <= 0:
		return errors.New("controller: MaxSubmissions: expected more than 0")
	case c.MaxMessage <= 0:
		return errors.New("controller: MaxMessage: expected more than 0")
	case c.JobRetention <= 0:
		return errors.New("controller: JobRetention: expected more than 0")
	case c.Security == nil, c.Metrics == nil, c.Health == nil:
		return errors.New("controller: Security, Metrics, Health: must be set")
	}
	if err := c.Queues.Check(); err != nil {
		return errors.Wrap(err, "controller: Queues")
	}
	return c.Consensus.Check()
}

// Open reads the data folder and listens, so that a fault in either step shows when the process starts.
func (c *Controller) Open() error {
	if c.Queues == (dispatcher.Settings{}) {
		c.Queues = dispatcher.Defaults()
	}
	if c.JobRetention == 0 {
		c.JobRetention = jobRetention
	}
	if err := c.limitDisk(); err != nil {
		return err
	}
	if err := c.Check(); err != nil {
		return err
	}
	if c.Events == nil {
		c.Events = &recorder.Buffer{Cap: maxEvents, Clock: time.Now}
	}
	c.Events.SetProcess(specifier.Identity{Name: c.Name, Incarnation: specifier.Incarnation(rand.Uint64())}.String())
	c.mailbox = looper.NewMailbox[driver.Event](mailboxSize)
	c.registry = &registry{mailbox: c.mailbox, security: c.Security}
	c.registry.lastID.Store(uint64(operatorStream))
	if c.Clock == nil {
		c.Clock = time.Now
	}
	c.queues = newQueues(c.mailbox, c.Clock, c.Log)
	c.joins = &pendingCalls[driver.JoinAnswered]{mailbox: c.mailbox}
	c.transfers = &pendingCalls[driver.LeadershipTransferred]{mailbox: c.mailbox}
	c.measures = &pendingCalls[driver.Measured]{mailbox: c.mailbox}
	c.operators = &operators{decisions: pendingCalls[specifier.Decision]{mailbox: c.mailbox}, reads: pendingCalls[driver.ReadAnswered]{mailbox: c.mailbox}, queues: c.queues}
	c.fault, c.ended = make(chan error, 1), make(chan struct{})
	var err error
	if c.disk, c.recovered, err = c.openDisk(); err != nil {
		return errors.Wrapf(err, "controller: DataFolder %s", c.DataFolder)
	}
	if err := c.recoverAndListen(); err != nil {
		return errors.CombineErrors(err, c.disk.close())
	}
	return nil
}

func (c *Controller) recoverAndListen() error {
	c.Bootstrap = c.Bootstrap || c.BootstrapIfNew && c.recovered.isNew()
	if err := c.recovered.check(c.Bootstrap, len(c.Peers)); err != nil {
		return errors.Wrapf(err, "controller: DataFolder %s", c.DataFolder)
	}
	var err error
	if c.machine, err = c.newMachine(c.recovered); err != nil {
		return err
	}
	addr := c.Addr
	if c.ListenAddr.IsValid() {
		addr = c.ListenAddr
	}
	c.listener, err = net.Listen("tcp", addr.String())
	return errors.Wrapf(err, "controller: listen on %s", addr)
}

// Run serves until ctx ends or the controller fails. It calls Open first if the caller has not.
func (c *Controller) Run(ctx context.Context) error {
	if c.mailbox == nil {
		if err := c.Open(); err != nil {
			return err
		}
	}
	defer close(c.ended)
	return errors.CombineErrors(c.serve(ctx), c.disk.close())
}

func (c *Controller) serve(ctx context.Context) error {
	pool := &dialer.Pool{Credentials: c.Security.ClientCredentials(specifier.Controller, "")}
	defer pool.Close()
	server := dialer.NewGuardedServer(c.handlerFailed, append(c.Security.ServerOptions(guard, c.MaxMessage), c.serverOptions...)...)
	encoder.RegisterRegistryServer(server, c.registry)
	encoder.RegisterQueueKeeperServer(server, c.queues)
	encoder.RegisterOperatorServer(server, &operator.Server{Propose: c.operators.propose, State: c.operators.read, Evacuate: c.operators.evacuate, Identify: c.Security.CheckOperator})
	encoder.RegisterTimelineServer(server, &operator.Timeline{Buffer: c.Events})
	contacts := &contacts{}
	transporter.RegisterReplicaServer(server, &replica{mailbox: c.mailbox, disk: c.disk, joins: c.joins, security: c.Security, contacts: contacts, pool: pool})

	group, ctx := supervisor.WithContext(ctx)
	c.peers = &peers{group: group, ctx: ctx, pool: pool, disk: c.disk, mailbox: c.mailbox, settings: c.Peers, self: c.Addr, contacts: contacts}
	loop := &looper.Loop[driver.Event, driver.Action]{Machine: c.machine, Mailbox: c.mailbox, Perform: c.perform, Clock: c.Clock}
	group.Go(func() error { return c.disk.run(ctx) })
	group.Go(func() error { return c.disk.save(ctx) })
	group.Go(func() error { return loop.Run(ctx) })
	group.Go(func() error { return c.queues.relays.run(ctx) })
	group.Go(func() error { return errors.Wrap(server.Serve(c.listener), "controller: serve") })
	group.Go(func() error {
		defer server.Stop()
		select {
		case err := <-c.fault:
			return err
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	})
	group.Go(func() error { return c.joinCluster(ctx, c.machine.Node.Self, pool) })
	return group.Wait()
}

// newMachine builds the control state from the content of the data folder.
func (c *Controller) newMachine(recovered recovery) (*driver.Driver, error) {
	node := &replicator.Node{Self: replicator.ServerID{Name: c.Name, Disk: recovered.disk}, Settings: c.Consensus,
		Recovered: recovered.log, Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))}
	if err := node.Check(); err != nil {
		return nil, err
	}
	state, queues := registrar.New(specifier.MaxSubmissions), jobrecorder.New(c.JobRetention)
	if recovered.content != nil {
		var err error
		if queues, state, err = driver.DecodeImage(recovered.content, c.JobRetention); err != nil {
			return nil, errors.Wrap(err, "controller: the newest snapshot")
		}
	}
	control := sequencer.New(state)
	control.Lease, control.MaxBatch, control.MaxSubmissions = c.MemberLease, c.MaxBatch, c.MaxSubmissions
	machine := driver.New(node, control, &dispatcher.Dispatcher{Recorder: queues, Settings: c.Queues})
	machine.Fault, machine.Zone = c.fail, c.Zone
	machine.MinVoters, machine.VoterTimeout = c.MinVoters, c.VoterTimeout
	for _, peer := range c.Peers {
		if !c.OpenMembership {
			machine.AllowedNames = append(machine.AllowedNames, peer.Name)
		}
	}
	return machine, nil
}

// joinCluster starts the log, and then asks the other controllers for membership. It does not ask if there are none, or if this
// controller bootstraps a cluster whose members Peers lists: the others then ask it.
func (c *Controller) joinCluster(ctx context.Context, self replicator.ServerID, pool *dialer.Pool) error {
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
	joiner := &joiner{self: server, pool: pool, log: c.Log, keepMember: c.OpenMembership}
	for _, peer := range c.Peers {
		if peer.Name != c.Name {
			joiner.peers = append(joiner.peers, peer.Addr)
		}
	}
	joiner.knownPeers = c.queues.otherControllers(c.Addr)
	if c.Bootstrap && !c.OpenMembership || len(joiner.peers) == 0 {
		return nil
	}
	return joiner.run(ctx)
}

// fail stops the controller. Run returns the first fault.
func (c *Controller) fail(err error) {
	select {
	case c.fault <- err:
	default:
	}
}
