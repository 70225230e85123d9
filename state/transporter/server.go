package transporter

import (
	"net/netip"

	"oleandertally/state/replicator"
)

// maxServers bounds the controllers of one cluster; at most 7 hosts are set aside for control.
const maxServers = 15

func encodeServers(servers []replicator.Server) []*Server {
	var list []*Server
	for _, server := range servers {
		list = append(list, &Server{Id: encodeServerID(server.ID), Addr: server.Addr.String(), Voter: server.Voter,
			Replaces: encodeServerID(server.Replaces)})
	}
	return list
}

func decodeServers(list []*Server) ([]replicator.Server, error) {
	if len(list) > maxServers {
		return nil, malformed("Servers", "has %d items, expected at most %d", len(list), maxServers)
	}
	var servers []replicator.Server
	for _, m := range list {
		id, err := decodeServerID(m.GetId())
		if err != nil {
			return nil, err
		}
		replaces, err := decodeServerID(m.GetReplaces())
		if err != nil {
			return nil, err
		}
		addr, err := netip.ParseAddrPort(m.GetAddr())
		if err != nil {
			return nil, malformed("Server.Addr", "is not IP:port")
		}
		servers = append(servers, replicator.Server{ID: id, Addr: addr, Voter: m.GetVoter(), Replaces: replaces})
	}
	return servers, nil
}
