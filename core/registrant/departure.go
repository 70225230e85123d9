package registrant

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"oleandertally/core/dialer"
	"oleandertally/core/encoder"
	"oleandertally/core/looper"
	"oleandertally/core/specifier"
)

// Departure records that a member has departed, so that the others need not wait for its lease to expire.
// Fields are set before Run. The member's Registrant must have ended: its next heartbeat would record the
// member again.
type Departure struct {
	Identity    specifier.Identity
	Controllers []netip.AddrPort
	Pool        *dialer.Pool
}

// Run returns nil once the departure is recorded, or an error when ctx ends before that.
func (d *Departure) Run(ctx context.Context) error {
	next, addr := 0, d.Controllers[0]
	var last error
	for ctx.Err() == nil {
		decision, err := d.propose(ctx, addr)
		switch {
		case err == nil && (decision.Verdict == specifier.Applied || decision.Verdict == specifier.Rejected):
			// Rejected: the member is not known, or another incarnation has replaced it.
			return nil
		case err == nil && decision.Leader.IsValid() && decision.Leader != addr:
			addr = decision.Leader
		default:
			next = (next + 1) % len(d.Controllers)
			addr = d.Controllers[next]
		}
		last = err
		looper.Pause(ctx, time.Duration(rand.Int64N(int64(maxRedialDelay))))
	}
	return errors.CombineErrors(context.Cause(ctx), last)
}

// propose asks one controller for its decision.
func (d *Departure) propose(ctx context.Context, addr netip.AddrPort) (specifier.Decision, error) {
	var none specifier.Decision
	conn, err := d.Pool.Conn(addr)
	if err != nil {
		return none, err
	}
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	stream, err := encoder.NewRegistryClient(conn).Propose(ctx)
	if err != nil {
		return none, errors.Wrap(err, "departure: open the stream")
	}
	command := encoder.EncodeCommand(specifier.EndMember{Identity: d.Identity})
	if err := stream.Send(&encoder.Proposals{Items: []*encoder.Proposal{{Sequence: 1, Command: command}}}); err != nil {
		return none, errors.Wrap(err, "departure: send")
	}
	verdicts, err := stream.Recv()
	if err != nil {
		return none, errors.Wrap(err, "departure: receive")
	}
	if len(verdicts.Items) != 1 {
		return none, errors.Newf("departure: the answer has %d decisions, expected 1", len(verdicts.Items))
	}
	decision, err := encoder.DecodeDecision(verdicts.Items[0].Decision)
	return decision, errors.Wrap(err, "departure: decision")
}
