package replicator

import "slices"

// memberships holds the server lists that the log may still fall back to, oldest first. The newest is in force from
// when it is appended, whether it is committed or not.
type memberships struct {
	list []membership
}

// current returns the list in force.
func (m *memberships) current() membership {
	if len(m.list) == 0 {
		return membership{}
	}
	return m.list[len(m.list)-1]
}

// at returns the servers in force at index.
func (m *memberships) serversAt(index Index) []Server {
	for _, each := range slices.Backward(m.list) {
		if each.index <= index {
			return each.servers
		}
	}
	return nil
}

// voted reports whether id is a voter in the list in force or in one that may come back into force, because what replaced
// it is not committed.
func (m *memberships) mayVote(id ServerID, commit Index) bool {
	for _, each := range slices.Backward(m.list) {
		if each.isVoter(id) {
			return true
		}
		if each.index <= commit {
			break
		}
	}
	return false
}

// add notes the membership entries among entries. It returns whether there are any.
func (m *memberships) add(entries []Entry) bool {
	before := len(m.list)
	for _, entry := range entries {
		if entry.Kind == Membership {
			m.list = append(m.list, newMembership(entry.Index, entry.Servers))
		}
	}
	return len(m.list) > before
}

// truncate forgets the lists from index from on. It returns whether there were any.
func (m *memberships) truncate(from Index) bool {
	before := len(m.list)
	m.list = slices.DeleteFunc(m.list, func(each membership) bool { return each.index >= from })
	return len(m.list) < before
}

// compact forgets the lists that were replaced at or before through.
func (m *memberships) compact(through Index) {
	for len(m.list) > 1 && m.list[1].index <= through {
		m.list = m.list[1:]
	}
}

// reset replaces everything by the servers of a snapshot.
func (m *memberships) reset(snapshot Snapshot) {
	m.list = []membership{newMembership(snapshot.Index, snapshot.Servers)}
}
