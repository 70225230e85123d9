package operator

import (
	"context"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"oleandertally/core/encoder"
	"oleandertally/core/recorder"
	"oleandertally/core/specifier"
)

// Timeline is the Timeline service, which every process serves. Buffer is set before the service is registered.
type Timeline struct {
	encoder.UnimplementedTimelineServer
	Buffer *recorder.Buffer
}

// Gather returns the stored events that the request selects.
func (t *Timeline) Gather(_ context.Context, request *encoder.EventsRequest) (*encoder.EventList, error) {
	found := &specifier.Problems{}
	filter := recorder.Filter{Job: decodeJob(found, request.GetJob()), Worker: request.GetWorker()}
	if problems := found.OrNil(); problems != nil {
		return nil, status.Error(codes.InvalidArgument, problems.Error())
	}
	events, dropped := t.Buffer.Select(filter)
	reply := &encoder.EventList{Dropped: int64(dropped), Now: t.Buffer.Clock().UnixNano()}
	for _, event := range events {
		reply.Items = append(reply.Items, EncodeEvent(event))
	}
	return reply, nil
}
