package replicator

import "slices"

// membership is a list of servers and the index of the entry that set it.
type membership struct {
	index   Index
	servers []Server
	voters  []ServerID // those of servers that count toward majorities
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

// votes reports whether id is a voter.
func (m membership) isVoter(id ServerID) bool { return slices.Contains(m.voters, id) }

// with returns a list in which server replaces the one of the same identity or is added.
func (m membership) with(server Server) []Server {
	servers := append(m.without(server.ID), server)
	slices.SortFunc(servers, func(a, b Server) int { return a.ID.Compare(b.ID) })
	return servers
}

// without returns a list without id.
func (m membership) without(id ServerID) []Server {
	return slices.DeleteFunc(slices.Clone(m.servers), func(each Server) bool { return each.ID == id })
}
