package transporter

import (
	"net/netip"

	"oleandertally/state/replicator"
)

// maxServers is the maximum number of controllers in one cluster. At most 7 hosts are reserved for controllers.
const maxServers = 15

func encodeServers(servers []replicator.Server) []*Server {
	var list []*Server
	for _, server := range servers {
		list = append(list, EncodeServer(server))
	}
	return list
}

func decodeServers(list []*Server) ([]replicator.Server, error) {
	if len(list) > maxServers {
		return nil, malformed("Servers", "has %d items, expected at most %d", len(list), maxServers)
	}
	var servers []replicator.Server
	for _, m := range list {
		server, err := DecodeServer(m)
		if err != nil {
			return nil, err
		}
		servers = append(servers, server)
	}
	return servers, nil
}

// EncodeServer converts a server.
func EncodeServer(server replicator.Server) *Server {
	return &Server{Id: encodeServerID(server.ID), Addr: server.Addr.String(), Voter: server.Voter, Replaces: encodeServerID(server.Replaces)}
}

// DecodeServer converts a received server. It returns ErrMalformed wrapped with the name of the invalid field.
func DecodeServer(m *Server) (replicator.Server, error) {
	id, err := decodeServerID(m.GetId())
	if err != nil {
		return replicator.Server{}, err
	}
	replaces, err := decodeServerID(m.GetReplaces())
	if err != nil {
		return replicator.Server{}, err
	}
	addr, err := netip.ParseAddrPort(m.GetAddr())
	if err != nil {
		return replicator.Server{}, malformed("Server.Addr", "is not IP:port")
	}
	return replicator.Server{ID: id, Addr: addr, Voter: m.GetVoter(), Replaces: replaces}, nil
}
