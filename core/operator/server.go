package operator

import (
	"context"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"oleandertally/core/encoder"
	"oleandertally/core/specifier"
)

// Server is the Operator service of a controller. Both fields are set before it is registered;
// they are called from many goroutines.
type Server struct {
	encoder.UnimplementedOperatorServer
	Propose Propose
	State   Read
}

// Read answers with the state, or with the leader's address.
func (s *Server) Read(ctx context.Context, request *encoder.ReadRequest) (*encoder.ReadReply, error) {
	state, err := s.State(ctx, specifier.Revision(request.GetRevision()))
	var elsewhere *NotLeaderError
	switch {
	case errors.As(err, &elsewhere):
		return &encoder.ReadReply{NotLeader: true, Leader: addressText(elsewhere.Leader)}, nil
	case errors.Is(err, ErrNotHeld):
		return nil, status.Error(codes.NotFound, err.Error())
	case err != nil:
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	return EncodeState(state), nil
}

// Change proposes the command of the request.
func (s *Server) Change(ctx context.Context, request *encoder.ChangeRequest) (*encoder.ChangeReply, error) {
	command, err := encoder.DecodeCommand(request.GetCommand())
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	if err := permitted(request, command); err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	decision, err := s.Propose(ctx, command)
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	return &encoder.ChangeReply{Decision: encoder.EncodeDecision(decision)}, nil
}

// permitted refuses the commands that only members may send.
func permitted(request *encoder.ChangeRequest, command specifier.Command) error {
	switch command := command.(type) {
	case specifier.ChangeConfiguration:
		if command.RequestID != request.GetRequestId() {
			return errors.Newf("RequestId: is %.64q, but the command has %.64q", request.GetRequestId(), command.RequestID)
		}
		return nil
	case specifier.DrainMember:
		return nil
	}
	return errors.Newf("Command: is a %T, expected ChangeConfiguration or DrainMember", command)
}
