package deployer

import (
	"context"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc/credentials/insecure"

	"oleandertally/core/dialer"
	"oleandertally/core/encoder"
	"oleandertally/core/specifier"
)

// Leader returns the index of the leading controller. It sends the initial configuration change again to each controller
// in turn: only the leader decides on it, and a repeated change has no effect.
func (s *Site) Leader(ctx context.Context) (int, error) {
	pool := &dialer.Pool{Credentials: insecure.NewCredentials()}
	defer pool.Close()
	for i := range s.Controllers {
		leads, err := s.isLeader(ctx, pool, i)
		if err == nil && leads {
			return i, nil
		}
		if ctx.Err() != nil {
			return 0, context.Cause(ctx)
		}
	}
	return 0, errors.New("deployer: no controller leads")
}

func (s *Site) isLeader(ctx context.Context, pool *dialer.Pool, i int) (bool, error) {
	conn, err := pool.Conn(s.Layout.Controller(i))
	if err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := encoder.NewRegistryClient(conn).Propose(ctx)
	if err != nil {
		return false, errors.Wrap(err, "deployer: open the stream")
	}
	command := encoder.EncodeCommand(s.initialChange())
	if err := stream.Send(&encoder.Proposals{Items: []*encoder.Proposal{{Sequence: 1, Command: command}}}); err != nil {
		return false, errors.Wrap(err, "deployer: propose")
	}
	verdicts, err := stream.Recv()
	if err != nil {
		return false, errors.Wrap(err, "deployer: decision")
	}
	if len(verdicts.Items) == 0 {
		return false, errors.New("deployer: the controller sent no decision")
	}
	decision, err := encoder.DecodeDecision(verdicts.Items[0].Decision)
	return decision.Verdict == specifier.Applied, err
}

func (s *Site) initialChange() specifier.ChangeConfiguration {
	return specifier.ChangeConfiguration{RequestID: "local-start", Operator: "local", Profiles: s.Profiles, Teams: s.Teams}
}
