package attender

import (
	"context"
	"net/netip"

	"github.com/cockroachdb/errors"

	"oleandertally/core/dialer"
	"oleandertally/core/encoder"
	"oleandertally/core/specifier"
)

// Departure records that a member has left, so that the others need not wait for the end of its lease.
// Fields are set before Run. The member must not attend any more: it would be recorded again.
type Departure struct {
	Identity    specifier.Identity
	Controllers []netip.AddrPort
	Pool        *dialer.Pool
}

// Run returns nil once the departure is recorded, or an error when ctx ends before that.
func (d *Departure) Run(ctx context.Context) error {
	var last error
	for next := 0; ctx.Err() == nil; {
		leader, err := d.propose(ctx, d.Controllers[next%len(d.Controllers)])
		if err != nil && leader.IsValid() {
			leader, err = d.propose(ctx, leader)
		}
		if err == nil {
			return nil
		}
		last = err
		next++
		wait(ctx, redialBound)
	}
	return errors.CombineErrors(context.Cause(ctx), last)
}

// propose asks one controller. It returns the leader that the controller names, if any.
func (d *Departure) propose(ctx context.Context, addr netip.AddrPort) (leader netip.AddrPort, err error) {
	conn, err := d.Pool.Conn(addr)
	if err != nil {
		return leader, err
	}
	ctx, cancel := context.WithTimeout(ctx, answerBound)
	defer cancel()
	stream, err := encoder.NewRegistryClient(conn).Propose(ctx)
	if err != nil {
		return leader, errors.Wrap(err, "departure: open the stream")
	}
	command := encoder.EncodeCommand(specifier.EndMember{Identity: d.Identity})
	if err := stream.Send(&encoder.Proposals{Items: []*encoder.Proposal{{Sequence: 1, Command: command}}}); err != nil {
		return leader, errors.Wrap(err, "departure: send")
	}
	verdicts, err := stream.Recv()
	if err != nil {
		return leader, errors.Wrap(err, "departure: receive")
	}
	for _, item := range verdicts.Items {
		decision, err := encoder.DecodeDecision(item.Decision)
		switch {
		case err != nil:
			return leader, errors.Wrap(err, "departure: decision")
		case decision.Verdict == specifier.Applied, decision.Verdict == specifier.Rejected:
			// Rejected: the member is not known, or another incarnation has replaced it.
			return leader, nil
		}
		return decision.Leader, errors.Newf("departure: the controller answered %s", decision.Verdict)
	}
	return leader, errors.New("departure: the controller answered nothing")
}
