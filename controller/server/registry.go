package server

import (
	"context"
	"sync/atomic"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"oleandertally/controller/driver"
	"oleandertally/controller/sequencer"
	"oleandertally/core/authenticator"
	"oleandertally/core/encoder"
	"oleandertally/core/looper"
	"oleandertally/core/specifier"
	"oleandertally/core/supervisor"
)

// registry serves entries and agents as members and as proposers of commands.
type registry struct {
	encoder.UnimplementedRegistryServer

	mailbox   *looper.Mailbox[driver.Event]
	security  *authenticator.Authenticator
	lastID    atomic.Uint64 // ID of the newest stream
	proposers streams[sequencer.Stream, *encoder.Verdict]
	sessions  streams[sequencer.Stream, specifier.Update]
}

// Propose receives commands for the log and sends their decisions.
func (r *registry) Propose(stream encoder.Registry_ProposeServer) error {
	id := sequencer.Stream(r.lastID.Add(1))
	box := r.proposers.open(id)
	defer r.proposers.close(id)
	group, ctx := supervisor.WithContext(stream.Context())
	group.Go(func() error {
		for {
			verdicts, err := box.Take(ctx)
			if err != nil {
				return err
			}
			if err := stream.Send(&encoder.Verdicts{Items: verdicts}); err != nil {
				return err
			}
		}
	})
	group.Go(func() error {
		for {
			proposals, err := stream.Recv()
			if err != nil {
				return err
			}
			if err := r.forward(ctx, id, proposals); err != nil {
				return err
			}
		}
	})
	return group.Wait()
}

func (r *registry) forward(ctx context.Context, id sequencer.Stream, proposals *encoder.Proposals) error {
	for _, proposal := range proposals.Items {
		command, err := encoder.DecodeCommand(proposal.Command)
		if err != nil {
			return status.Error(codes.InvalidArgument, err.Error())
		}
		if proposal.Sequence == 0 {
			return status.Error(codes.InvalidArgument, "Proposal.Sequence: is 0, expected at least 1")
		}
		event := sequencer.Proposed{Stream: id, Sequence: proposal.Sequence, Command: command}
		if err := r.mailbox.Send(ctx, driver.Event{Control: event}); err != nil {
			return err
		}
	}
	return nil
}

// Attend is the session of one member: it receives heartbeats, which renew the member's lease, and sends updates.
func (r *registry) Attend(stream encoder.Registry_AttendServer) error {
	id := sequencer.Stream(r.lastID.Add(1))
	box := r.sessions.open(id)
	defer r.sessions.close(id)
	defer r.notifyClosed(id)
	group, ctx := supervisor.WithContext(stream.Context())
	group.Go(func() error {
		for {
			updates, err := box.Take(ctx)
			if err != nil {
				return err
			}
			for _, update := range updates {
				if err := stream.Send(encoder.EncodeUpdate(update)); err != nil {
					return err
				}
				if update.NotLeader || update.Expelled {
					return status.Error(codes.Aborted, "the attendance ended")
				}
			}
		}
	})
	group.Go(func() error {
		for {
			message, err := stream.Recv()
			if err != nil {
				return err
			}
			heartbeat, err := encoder.DecodeHeartbeat(message)
			if err != nil {
				return status.Error(codes.InvalidArgument, err.Error())
			}
			if member := heartbeat.Member; member != nil {
				if err := checkPeer(ctx, r.security, member.Role, member.Name); err != nil {
					return err
				}
			}
			event := sequencer.HeartbeatReceived{Stream: id, Heartbeat: heartbeat}
			if err := r.mailbox.Send(ctx, driver.Event{Control: event}); err != nil {
				return err
			}
		}
	})
	return group.Wait()
}

// notifyClosed reports to the control loop that a stream ended. It gives up after closeTimeout, as the loop may have ended too.
func (r *registry) notifyClosed(id sequencer.Stream) {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	_ = r.mailbox.Send(ctx, driver.Event{Control: sequencer.StreamClosed{Stream: id}})
}
