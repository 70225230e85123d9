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

func (c *contacts) learn(id replicator.ServerID, text string) {
	addr, err := netip.ParseAddrPort(text)
	if err != nil {
		return // older versions send no address
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.addrs == nil || len(c.addrs) >= maxContacts {
		c.addrs = make(map[replicator.ServerID]netip.AddrPort)
	}
	c.addrs[id] = addr
}

func (c *contacts) find(id replicator.ServerID) (netip.AddrPort, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	addr, known := c.addrs[id]
	return addr, known
}
