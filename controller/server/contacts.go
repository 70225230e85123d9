package server

import (
	"net/netip"
	"sync"

	"oleandertally/state/replicator"
)

// contacts holds the addresses that other controllers sent with their messages. A joining controller learns the list of servers
// only from the log, and must answer the leader to receive the log: it takes the leader's address from here.
type contacts struct {
	mutex sync.Mutex
	addrs map[replicator.ServerID]netip.AddrPort
}

// maxContacts is the maximum number of addresses. A full list is emptied before the next address.
const maxContacts = 64

// learn stores the address that a controller sent with a message, and returns it. It reports whether there is one: older versions send
// none.
func (c *contacts) learn(id replicator.ServerID, text string) (netip.AddrPort, bool) {
	addr, err := netip.ParseAddrPort(text)
	if err != nil {
		return netip.AddrPort{}, false
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.addrs == nil || len(c.addrs) >= maxContacts {
		c.addrs = make(map[replicator.ServerID]netip.AddrPort)
	}
	c.addrs[id] = addr
	return addr, true
}

func (c *contacts) find(id replicator.ServerID) (netip.AddrPort, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	addr, known := c.addrs[id]
	return addr, known
}
