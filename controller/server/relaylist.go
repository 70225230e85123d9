package server

import (
	"net/netip"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"oleandertally/controller/dispatcher"
)

const (
	// maxRelays bounds the list of relays.
	maxRelays = 64
	// relayRetention is how long a relay stays listed after its stream has ended, so that a short loss does not change the list.
	relayRetention = 3 * time.Second
	// relaysInterval is the least time between two lists that are sent.
	relaysInterval = 500 * time.Millisecond
)

// relayList decides which relays the welcomes list, and when a new list is sent.
type relayList struct {
	relays  []listedRelay // ordered by address
	changed bool          // since the last list
	sentAt  time.Time     // when the last list was sent
}

// announce adds the relay that a stream announced. It returns an error for text that is not the address of a host and port.
func (l *relayList) announce(stream dispatcher.Stream, text string) error {
	addr, err := netip.ParseAddrPort(text)
	if err != nil || addr.Port() == 0 || addr.Addr().IsUnspecified() || addr.Addr().IsMulticast() {
		return errors.Newf("got relay %q, expected the IP address of a host and a port", text)
	}
	i, found := slices.BinarySearchFunc(l.relays, addr, func(each listedRelay, addr netip.AddrPort) int { return each.addr.Compare(addr) })
	switch {
	case found:
		l.relays[i].stream, l.relays[i].forgetAt = stream, time.Time{}
	case len(l.relays) >= maxRelays:
		return errors.Newf("got relay %s, expected no more than %d", addr, maxRelays)
	default:
		l.relays = slices.Insert(l.relays, i, listedRelay{addr: addr, stream: stream})
		l.changed = true
	}
	return nil
}

// streamEnded lets the relay of a stream be forgotten, unless a newer stream has announced it.
func (l *relayList) streamEnded(now time.Time, stream dispatcher.Stream) {
	for i := range l.relays {
		if l.relays[i].stream == stream {
			l.relays[i].forgetAt = now.Add(relayRetention)
		}
	}
}

// expire forgets the relays that are due and reports whether a new list is to be sent now.
func (l *relayList) expire(now time.Time) bool {
	before := len(l.relays)
	l.relays = slices.DeleteFunc(l.relays, func(each listedRelay) bool { return !each.forgetAt.IsZero() && !each.forgetAt.After(now) })
	l.changed = l.changed || len(l.relays) != before
	if !l.changed || now.Before(l.sendAt()) {
		return false
	}
	l.changed, l.sentAt = false, now
	return true
}

// next returns when expire is due, or the zero time.
func (l *relayList) next() time.Time {
	var next time.Time
	if l.changed {
		next = l.sendAt()
	}
	for _, each := range l.relays {
		if !each.forgetAt.IsZero() && (next.IsZero() || each.forgetAt.Before(next)) {
			next = each.forgetAt
		}
	}
	return next
}

func (l *relayList) sendAt() time.Time { return l.sentAt.Add(relaysInterval) }

// texts returns the addresses as messages carry them.
func (l *relayList) texts() []string {
	var list []string
	for _, each := range l.relays {
		list = append(list, each.addr.String())
	}
	return list
}
