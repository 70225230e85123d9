package replicator

import "slices"

// memberships holds the current server list and the older ones that a truncation of the log may restore, oldest first. The
// newest list is in effect as soon as it is appended, committed or not.
type memberships struct {
	list []membership
}

// current returns the newest list, or an empty one if there is none.
func (m *memberships) current() membership {
	if len(m.list) == 0 {
		return membership{}
	}
	return m.list[len(m.list)-1]
}

// serversAt returns the servers in effect at index.
func (m *memberships) serversAt(index Index) []Server {
	for _, each := range slices.Backward(m.list) {
		if each.index <= index {
			return each.servers
		}
	}
	return nil
}

// mayVote reports whether id is a voter in the current list or in an older one that a truncation may restore, because no
// later list is committed.
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

// add stores the lists of the membership entries among entries, and reports whether there are any.
func (m *memberships) add(entries []Entry) bool {
	before := len(m.list)
	for _, entry := range entries {
		if entry.Kind == Membership {
			m.list = append(m.list, newMembership(entry.Index, entry.Servers))
		}
	}
	return len(m.list) > before
}

// truncate removes the lists at from and later, and reports whether there were any.
func (m *memberships) truncate(from Index) bool {
	before := len(m.list)
	m.list = slices.DeleteFunc(m.list, func(each membership) bool { return each.index >= from })
	return len(m.list) < before
}

// compact removes the lists that were replaced at or before through.
func (m *memberships) compact(through Index) {
	for len(m.list) > 1 && m.list[1].index <= through {
		m.list = m.list[1:]
	}
}

// reset replaces all lists by the servers of a snapshot.
func (m *memberships) reset(snapshot Snapshot) {
	m.list = []membership{newMembership(snapshot.Index, snapshot.Servers)}
}
