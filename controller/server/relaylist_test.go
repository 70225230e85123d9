package server

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"google.golang.org/grpc"

	"oleandertally/core/encoder"
)

// moment returns a time on the clock that a test holds.
func moment(millis int) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(millis) * time.Millisecond)
}

// mustSend checks that a list is sent at a moment and what it contains.
func mustSend(t *testing.T, l *relayList, millis int, want ...string) {
	t.Helper()
	must.False(t, l.expire(moment(millis-1)))
	must.True(t, l.expire(moment(millis)))
	must.Eq(t, want, l.texts())
	must.False(t, l.expire(moment(millis)))
}

func TestRelayList(t *testing.T) {
	const a, b = "10.0.0.1:7001", "10.0.0.2:7001"
	t.Run("changes are sent together, at most once in an interval", func(t *testing.T) {
		// Guards against hundreds of welcomes to every agent while the entries connect to a new leader.
		l := &relayList{sentAt: moment(0)}
		must.NoError(t, l.announce(1, b))
		must.NoError(t, l.announce(2, a))
		mustSend(t, l, 500, a, b)
		must.NoError(t, l.announce(3, a)) // announced again on another stream
		must.False(t, l.expire(moment(5000)))
		must.True(t, l.next().IsZero())
	})
	t.Run("a short loss of a stream does not change the list", func(t *testing.T) {
		l := &relayList{}
		must.NoError(t, l.announce(1, a))
		must.True(t, l.expire(moment(0)))
		l.streamEnded(moment(1000), 1)
		must.Eq(t, moment(4000), l.next())
		must.NoError(t, l.announce(2, a))
		must.False(t, l.expire(moment(9000)))
	})
	t.Run("the end of an older stream does not remove a relay", func(t *testing.T) {
		l := &relayList{}
		must.NoError(t, l.announce(1, a))
		must.NoError(t, l.announce(2, a))
		l.streamEnded(moment(0), 1)
		must.True(t, l.expire(moment(9000)))
		must.Eq(t, []string{a}, l.texts())
	})
	t.Run("a relay is forgotten some time after its stream ended", func(t *testing.T) {
		// Guards against clients that try the relays of ended entries for good.
		l := &relayList{}
		must.NoError(t, l.announce(1, a))
		must.NoError(t, l.announce(2, b))
		must.True(t, l.expire(moment(0)))
		l.streamEnded(moment(1000), 1)
		mustSend(t, l, 4000, b)
	})
	t.Run("addresses that nobody can connect to are refused", func(t *testing.T) {
		for _, text := range []string{"", "host:1", "10.0.0.1", "10.0.0.1:0", "0.0.0.0:1", "[::]:1", "224.0.0.1:1", "10.0.0.1:99999"} {
			l := &relayList{}
			must.ErrorContains(t, l.announce(1, text), "expected the IP address of a host and a port")
			must.SliceEmpty(t, l.texts())
		}
	})
	t.Run("the list is bounded", func(t *testing.T) {
		l := &relayList{}
		for i := range maxRelays {
			must.NoError(t, l.announce(1, fmt.Sprintf("10.0.0.1:%d", i+1)))
		}
		must.ErrorContains(t, l.announce(1, "10.0.0.1:1000"), "no more than 64")
		must.NoError(t, l.announce(2, "10.0.0.1:5"))
		must.Len(t, maxRelays, l.texts())
	})
}

// mustOpenCall opens a call stream that announces a relay, and returns it after the controller's answer.
func mustOpenCall(t *testing.T, conn *grpc.ClientConn, relay string) encoder.QueueKeeper_CallClient {
	t.Helper()
	stream, err := encoder.NewQueueKeeperClient(conn).Call(t.Context())
	must.NoError(t, err)
	must.NoError(t, stream.Send(&encoder.QueueCalls{Relay: relay}))
	for message := (&encoder.QueueReplies{Welcome: &encoder.QueueWelcome{}}); message.Welcome != nil; { // the answer to the message has no welcome
		message, err = stream.Recv()
		must.NoError(t, err)
	}
	return stream
}

// Guards against an announcement that is not passed on, and against streams that end because of a bad one.
func TestAnnouncedRelays(t *testing.T) {
	c := newCluster(t, 1).begin()
	conn, err := c.pool.Conn(c.peers[0].Addr)
	must.NoError(t, err)
	watching := mustOpenCall(t, conn, "")
	mustOpenCall(t, conn, "nonsense")
	mustOpenCall(t, conn, "127.0.0.9:7001")
	var listed []string
	for len(listed) == 0 {
		message, err := watching.Recv()
		must.NoError(t, err)
		listed = message.Welcome.GetRelays()
	}
	must.Eq(t, []string{"127.0.0.9:7001"}, listed)
}
