package server

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"oleandertally/controller/dispatcher"
	"oleandertally/core/supervisor"
)

// relays publishes the list of relays.
type relays struct {
	clock   func() time.Time
	log     zerolog.Logger
	publish func(list []string)
	changed chan struct{} // has room for one signal

	mutex sync.Mutex
	list  relayList
}

// announce adds the relay that a stream announced. One that is not usable is left out: the stream carries the calls of many
// callers, so it stays open.
func (r *relays) announce(stream dispatcher.Stream, text string) {
	r.mutex.Lock()
	err := r.list.announce(stream, text)
	r.mutex.Unlock()
	if err != nil {
		r.log.Warn().Str(supervisor.FieldEvent, "RelayIgnored").Err(err).Send()
		return
	}
	r.signal()
}

func (r *relays) streamEnded(stream dispatcher.Stream) {
	r.mutex.Lock()
	r.list.streamEnded(r.clock(), stream)
	r.mutex.Unlock()
	r.signal()
}

func (r *relays) signal() {
	select {
	case r.changed <- struct{}{}:
	default:
	}
}

// run publishes changes of the list until ctx ends.
func (r *relays) run(ctx context.Context) error {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		r.mutex.Lock()
		send, list, next := r.list.expire(r.clock()), r.list.texts(), r.list.next()
		r.mutex.Unlock()
		if send {
			r.publish(list)
			r.log.Info().Str(supervisor.FieldEvent, "RelaysListed").Int("Count", len(list)).Send()
		}
		if timer.Stop(); !next.IsZero() {
			timer.Reset(max(next.Sub(r.clock()), 0))
		}
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-r.changed:
		case <-timer.C:
		}
	}
}
