package operator

import (
	"context"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"oleandertally/core/encoder"
	"oleandertally/core/specifier"
)

// Server is the Operator service of a controller. Its fields are set before it is registered. The functions are called
// from many goroutines.
type Server struct {
	encoder.UnimplementedOperatorServer
	Propose Propose
	State   Read
	// Evacuate may be nil, in which case the service refuses such orders.
	Evacuate Evacuate
	// Identify returns the operator whose token came with a call, or an error when the token is invalid. When the name is
	// empty, the server accepts the name in the request. A nil Identify admits every call.
	Identify func(ctx context.Context) (string, error)
}

// Read returns the state, or the leader's address when this controller is not the leader.
func (s *Server) Read(ctx context.Context, request *encoder.ReadRequest) (*encoder.ReadReply, error) {
	if _, err := s.identify(ctx); err != nil {
		return nil, err
	}
	state, err := s.State(ctx, specifier.Revision(request.GetRevision()))
	var notLeader *NotLeaderError
	switch {
	case errors.As(err, &notLeader):
		return &encoder.ReadReply{NotLeader: true, Leader: addressText(notLeader.Leader)}, nil
	case errors.Is(err, ErrRevisionUnavailable):
		return nil, status.Error(codes.NotFound, err.Error())
	case err != nil:
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	return EncodeState(state), nil
}

// Change proposes the command of the request.
func (s *Server) Change(ctx context.Context, request *encoder.ChangeRequest) (*encoder.ChangeReply, error) {
	if err := s.admit(ctx, request.GetOperator()); err != nil {
		return nil, err
	}
	command, err := encoder.DecodeCommand(request.GetCommand())
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	if err := checkPermitted(request, command); err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	decision, err := s.Propose(ctx, command)
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	return &encoder.ChangeReply{Decision: encoder.EncodeDecision(decision)}, nil
}

// EvacuateZone carries out the order of the request.
func (s *Server) EvacuateZone(ctx context.Context, request *encoder.EvacuationRequest) (*encoder.EvacuationReply, error) {
	if err := s.admit(ctx, request.GetOperator()); err != nil {
		return nil, err
	}
	if s.Evacuate == nil {
		return nil, status.Error(codes.Unimplemented, "this process has no queues")
	}
	err := s.Evacuate(ctx, Evacuation{Zone: request.GetZone(), Restore: request.GetRestore()})
	var notLeader *NotLeaderError
	switch {
	case errors.As(err, &notLeader):
		return &encoder.EvacuationReply{NotLeader: true, Leader: addressText(notLeader.Leader)}, nil
	case errors.Is(err, ErrInvalid):
		return nil, status.Error(codes.InvalidArgument, err.Error())
	case err != nil:
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	return &encoder.EvacuationReply{}, nil
}

// admit returns a gRPC error unless the caller may act under the operator's name.
func (s *Server) admit(ctx context.Context, operator string) error {
	name, err := s.identify(ctx)
	if err != nil {
		return err
	}
	if name != "" && name != operator {
		return status.Errorf(codes.PermissionDenied, "Operator: is %.64q, but the token is that of %q", operator, name)
	}
	return nil
}

// checkPermitted returns an error unless an operator may send the command and the request agrees with the command.
func checkPermitted(request *encoder.ChangeRequest, command specifier.Command) error {
	switch command := command.(type) {
	case specifier.ChangeConfiguration:
		if command.Operator != request.GetOperator() {
			return errors.Newf("Operator: is %.64q, but the command has %.64q", request.GetOperator(), command.Operator)
		}
		if command.RequestID != request.GetRequestId() {
			return errors.Newf("RequestId: is %.64q, but the command has %.64q", request.GetRequestId(), command.RequestID)
		}
		return nil
	case specifier.DrainMember:
		return nil
	}
	return errors.Newf("Command: is a %T, expected ChangeConfiguration or DrainMember", command)
}

// identify returns the name that Identify returns, or a gRPC error.
func (s *Server) identify(ctx context.Context) (string, error) {
	if s.Identify == nil {
		return "", nil
	}
	name, err := s.Identify(ctx)
	if err != nil {
		return "", status.Error(codes.Unauthenticated, err.Error())
	}
	return name, nil
}
