package replicator

import "slices"

// membership is a list of servers and the index of the log entry that contains it.
type membership struct {
	index   Index
	servers []Server
	voters  []ServerID // the servers that count toward majorities
}

func newMembership(index Index, servers []Server) membership {
	list := membership{index: index, servers: servers}
	for _, server := range servers {
		if server.Voter {
			list.voters = append(list.voters, server.ID)
		}
	}
	return list
}

// find returns the server with the identity id.
func (m membership) find(id ServerID) (Server, bool) {
	for _, server := range m.servers {
		if server.ID == id {
			return server, true
		}
	}
	return Server{}, false
}

func (m membership) isVoter(id ServerID) bool { return slices.Contains(m.voters, id) }

// with returns the list with server added, or with the server of the same identity replaced.
func (m membership) with(server Server) []Server {
	servers := append(m.without(server.ID), server)
	slices.SortFunc(servers, func(a, b Server) int { return a.ID.Compare(b.ID) })
	return servers
}

// without returns the list without the server id.
func (m membership) without(id ServerID) []Server {
	return slices.DeleteFunc(slices.Clone(m.servers), func(each Server) bool { return each.ID == id })
}
