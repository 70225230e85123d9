package registrar

import (
	"fmt"
	"maps"
	"slices"

	"oleandertally/core/specifier"
)

// join records a member as Up, or as Draining when an operator drains its name.
func (r *Registrar) join(c specifier.JoinMember) specifier.Decision {
	known, ok := r.members[c.Member.Name]
	switch {
	case r.departed.has(c.Member.Identity):
		return specifier.Decision{Verdict: specifier.Fenced, Detail: c.Member.Identity.String() + " is recorded as Down"}
	case !ok && len(r.members) >= specifier.MaxMembers:
		return specifier.Decision{Verdict: specifier.Full, Detail: fmt.Sprintf("there are %d members", len(r.members))}
	case (!ok || known.Identity != c.Member.Identity) && r.restartsFull(c.Member.Name):
		return specifier.Decision{Verdict: specifier.Full, Detail: "too many restarts are remembered"}
	}
	if ok && known.Identity != c.Member.Identity {
		r.depart(known)
	}
	joined := c.Member
	joined.State = specifier.Up
	if r.draining[joined.Name] {
		joined.State = specifier.Draining
	}
	r.setMember(joined)
	return specifier.Decision{Verdict: specifier.Applied}
}

// restartsFull reports whether another incarnation of name could not be remembered once it goes
// Down. Every member can go Down, so there is room for all of them.
func (r *Registrar) restartsFull(name string) bool {
	return len(r.departed.items)+len(r.members) >= specifier.MaxDeparted || r.departed.count(name) >= specifier.MaxRestarts
}

func (r *Registrar) end(c specifier.EndMember) specifier.Decision {
	if r.departed.has(c.Identity) {
		return specifier.Decision{Verdict: specifier.Applied}
	}
	known, ok := r.members[c.Identity.Name]
	if !ok || known.Identity != c.Identity {
		return specifier.Decision{Verdict: specifier.Rejected, Detail: "Identity: unknown member " + c.Identity.String()}
	}
	r.depart(known)
	known.State = specifier.Down
	r.setMember(known)
	return specifier.Decision{Verdict: specifier.Applied}
}

func (r *Registrar) drain(c specifier.DrainMember) specifier.Decision {
	known, ok := r.members[c.Name]
	switch {
	case !ok && !r.draining[c.Name]:
		return specifier.Decision{Verdict: specifier.Rejected, Detail: "Name: unknown member " + c.Name}
	case !c.Draining:
		delete(r.draining, c.Name)
	case !r.draining[c.Name] && len(r.draining) >= specifier.MaxMembers:
		return specifier.Decision{Verdict: specifier.Full, Detail: fmt.Sprintf("%d names are draining", len(r.draining))}
	default:
		r.draining[c.Name] = true
	}
	if ok && known.State != specifier.Down {
		known.State = specifier.Up
		if c.Draining {
			known.State = specifier.Draining
		}
		r.setMember(known)
	}
	return specifier.Decision{Verdict: specifier.Applied}
}

func (r *Registrar) setMember(member specifier.Member) {
	if r.members[member.Name] != member {
		r.members[member.Name] = member
		r.memberVersion++
	}
}

// MemberVersion counts the changes of the membership.
func (r *Registrar) MemberVersion() uint64 { return r.memberVersion }

// Member returns the member of a name.
func (r *Registrar) Member(name string) (specifier.Member, bool) {
	member, ok := r.members[name]
	return member, ok
}

// Members returns every member, by name.
func (r *Registrar) Members() []specifier.Member {
	members := make([]specifier.Member, 0, len(r.members))
	for _, name := range slices.Sorted(maps.Keys(r.members)) {
		members = append(members, r.members[name])
	}
	return members
}

// depart remembers an incarnation that goes Down, unless it is Down already.
func (r *Registrar) depart(known specifier.Member) {
	if known.State == specifier.Down {
		return
	}
	keep := r.now.Add(specifier.MaxTimeLeft + specifier.KeyRetention + 2*keepMargin)
	r.departed.add(departure{identity: known.Identity, role: known.Role, index: r.index, keep: keep})
}

// forgetMembers removes members that have been Down for as long as a submission can refer to them.
func (r *Registrar) forgetMembers() {
	for _, over := range r.departed.forget(r.now) {
		if r.members[over.identity.Name].Identity == over.identity {
			delete(r.members, over.identity.Name)
		}
	}
}

// isUp reports whether id is a member that is not Down.
func (r *Registrar) isUp(id specifier.Identity) bool {
	known, ok := r.members[id.Name]
	return ok && known.Identity == id && known.State != specifier.Down
}

// mayOwn reports whether id may become the owner of a job: an entry that is not Down. An entry
// that drains may, because it had the job before it learned so.
func (r *Registrar) mayOwn(id specifier.Identity) bool {
	return r.isUp(id) && r.members[id.Name].Role == specifier.Entry
}
