package connector

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"oleandertally/core/dialer"
	"oleandertally/core/encoder"
	"oleandertally/core/looper"
	"oleandertally/core/specifier"
	"oleandertally/core/supervisor"
	"oleandertally/entry/coordinator"
)

const (
	// maxReconnectDelay is the upper bound of the random wait before the proposer connects to the next controller.
	maxReconnectDelay = 200 * time.Millisecond
	// decisionTimeout is how long a controller may leave proposals undecided before the proposer tries
	// another one. A partition can isolate a leader without breaking the connection.
	decisionTimeout = 2 * time.Second
	// maxProposalsPerMessage is the maximum number of proposals in one message to the controllers.
	maxProposalsPerMessage = 1024
)

// Proposer sends commands to the leading controller and delivers the decisions to the
// coordinator. Commands that are undecided when a stream breaks are resent in order on the next
// stream. Exported fields are set before Run.
type Proposer struct {
	Controllers []netip.AddrPort
	Pool        *dialer.Pool
	Sink        *Sink
	Log         zerolog.Logger

	mutex        sync.Mutex
	lastSequence uint64
	pending      map[uint64]specifier.Command
	unsent       []uint64 // sequence numbers not yet sent on the current stream
	ready        chan struct{}
}

// NewProposer returns a proposer whose exported fields must be set before Run.
func NewProposer() *Proposer {
	return &Proposer{pending: make(map[uint64]specifier.Command), ready: make(chan struct{}, 1)}
}

// Propose queues a command. It does not block.
func (p *Proposer) Propose(command specifier.Command) {
	p.mutex.Lock()
	p.lastSequence++
	p.pending[p.lastSequence] = command
	p.unsent = append(p.unsent, p.lastSequence)
	p.mutex.Unlock()
	p.wake()
}

func (p *Proposer) wake() {
	select {
	case p.ready <- struct{}{}:
	default:
	}
}

// Run sends commands until ctx ends.
func (p *Proposer) Run(ctx context.Context) error {
	if len(p.Controllers) == 0 {
		return errors.New("proposer: Controllers: is empty, expected at least one address")
	}
	next, addr := 0, p.Controllers[0]
	for ctx.Err() == nil {
		leader, err := p.session(ctx, addr)
		if leader.IsValid() && leader != addr {
			addr = leader
		} else {
			next = (next + 1) % len(p.Controllers)
			addr = p.Controllers[next]
		}
		if err != nil && ctx.Err() == nil {
			p.Log.Info().Str("Event", "ProposalStreamEnded").Err(err).Stringer("Next", addr).Msg("proposals go to another controller")
		}
		looper.Pause(ctx, time.Duration(rand.Int64N(int64(maxReconnectDelay))))
	}
	return context.Cause(ctx)
}

func (p *Proposer) session(ctx context.Context, addr netip.AddrPort) (leader netip.AddrPort, err error) {
	conn, err := p.Pool.Conn(addr)
	if err != nil {
		return leader, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := encoder.NewRegistryClient(conn).Propose(ctx)
	if err != nil {
		return leader, errors.Wrap(err, "proposer: open the stream")
	}
	p.resend()
	answers := make(chan struct{}, 1)
	group, ctx := supervisor.WithContext(ctx)
	group.Go(func() error {
		defer cancel() // cancels the stream, on which receive would otherwise wait for a controller that does not respond
		return p.send(ctx, stream, answers)
	})
	group.Go(func() error {
		var err error
		leader, err = p.receive(ctx, stream, answers)
		return err
	})
	err = group.Wait()
	return leader, err
}

// resend marks all undecided commands as unsent, oldest first.
func (p *Proposer) resend() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.unsent = slices.Sorted(maps.Keys(p.pending))
	p.wake()
}

// send sends queued commands. It fails if the controller makes no decisions while commands are pending.
func (p *Proposer) send(ctx context.Context, stream encoder.Registry_ProposeClient, answers <-chan struct{}) error {
	timer := time.NewTimer(decisionTimeout)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-answers:
			timer.Reset(decisionTimeout)
		case <-timer.C:
			if p.hasPending() {
				return errors.New("proposer: the controller leaves proposals undecided")
			}
			timer.Reset(decisionTimeout)
		case <-p.ready:
			for batch := p.nextBatch(); batch != nil; batch = p.nextBatch() {
				if err := stream.Send(batch); err != nil {
					return errors.Wrap(err, "proposer: send")
				}
			}
		}
	}
}

func (p *Proposer) hasPending() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return len(p.pending) > 0
}

// nextBatch returns the next message of unsent commands, or nil if there are none.
func (p *Proposer) nextBatch() *encoder.Proposals {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if len(p.unsent) == 0 {
		return nil
	}
	size := min(len(p.unsent), maxProposalsPerMessage)
	batch := &encoder.Proposals{}
	for _, sequence := range p.unsent[:size] {
		if command, ok := p.pending[sequence]; ok {
			batch.Items = append(batch.Items, &encoder.Proposal{Sequence: sequence, Command: encoder.EncodeCommand(command)})
		}
	}
	p.unsent = slices.Delete(p.unsent, 0, size)
	return batch
}

func (p *Proposer) receive(ctx context.Context, stream encoder.Registry_ProposeClient, answers chan<- struct{}) (netip.AddrPort, error) {
	for {
		var noLeader netip.AddrPort
		verdicts, err := stream.Recv()
		if err != nil {
			return noLeader, errors.Wrap(err, "proposer: receive")
		}
		for _, item := range verdicts.Items {
			decision, err := encoder.DecodeDecision(item.Decision)
			if err != nil {
				return noLeader, errors.Wrap(err, "proposer: decision")
			}
			if decision.Verdict == specifier.NotLeader {
				return decision.Leader, errors.New("proposer: the controller does not lead")
			}
			command, ok := p.removePending(item.Sequence)
			if !ok {
				continue
			}
			if err := deliver(ctx, p.Sink, coordinator.Decided{Command: command, Decision: decision}); err != nil {
				return noLeader, err
			}
		}
		select {
		case answers <- struct{}{}:
		default:
		}
	}
}

// removePending removes a decided command and returns it.
func (p *Proposer) removePending(sequence uint64) (specifier.Command, bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	command, ok := p.pending[sequence]
	delete(p.pending, sequence)
	return command, ok
}
