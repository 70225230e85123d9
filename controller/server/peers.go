package server

import (
	"context"
	"net/netip"

	"oleandertally/controller/driver"
	"oleandertally/core/dialer"
	"oleandertally/core/looper"
	"oleandertally/core/supervisor"
	"oleandertally/state/replicator"
)

// peers sends to the other controllers. Only the control goroutine uses it.
type peers struct {
	group    *supervisor.GuardedGroup
	ctx      context.Context
	pool     *dialer.Pool
	disk     *disk
	mailbox  *looper.Mailbox[driver.Event]
	self     netip.AddrPort
	contacts *contacts
	settings []Peer              // used for controllers that are not in servers
	servers  []replicator.Server // servers of the configuration in force
	open     map[netip.AddrPort]*peerSender
}

// addr returns the address of a server: from the log, else from the settings by name, else from the server's own messages.
func (p *peers) addr(id replicator.ServerID) (netip.AddrPort, bool) {
	for _, server := range p.servers {
		if server.ID == id {
			return server.Addr, true
		}
	}
	for _, peer := range p.settings {
		if peer.Name == id.Name {
			return peer.Addr, true
		}
	}
	return p.contacts.find(id)
}

func (p *peers) send(envelope replicator.Envelope) {
	addr, ok := p.addr(envelope.To)
	if !ok {
		return
	}
	target := p.open[addr]
	if target == nil {
		target = &peerSender{addr: addr, self: p.self, pool: p.pool, box: looper.NewOutbox[replicator.Envelope]()}
		if p.open == nil {
			p.open = make(map[netip.AddrPort]*peerSender)
		}
		p.open[addr] = target
		p.group.Go(func() error { return target.run(p.ctx) })
	}
	target.box.Put(envelope)
}

// sendSnapshot streams a snapshot in the background and reports success or failure to the log.
func (p *peers) sendSnapshot(action replicator.SendSnapshot) {
	addr, ok := p.addr(action.Envelope.To)
	p.group.Go(func() error {
		failed := !ok || install(p.ctx, p.pool, addr, p.self, action, p.disk.store) != nil
		sent := replicator.SnapshotSent{To: action.Envelope.To, Index: action.Snapshot.Index, Failed: failed}
		return p.mailbox.Send(p.ctx, driver.Event{Log: sent})
	})
}
