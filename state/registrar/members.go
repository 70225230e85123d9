package registrar

import (
	"fmt"
	"maps"
	"slices"

	"oleandertally/core/specifier"
)

// join records a member as Up, or as Draining if an operator drains members of that name.
func (r *Registrar) join(c specifier.JoinMember) specifier.Decision {
	member, ok := r.members[c.Member.Name]
	switch {
	case r.departed.contains(c.Member.Identity):
		return specifier.Decision{Verdict: specifier.Fenced, Detail: c.Member.Identity.String() + " is recorded as Down"}
	case !ok && len(r.members) >= specifier.MaxMembers:
		return specifier.Decision{Verdict: specifier.Full, Detail: fmt.Sprintf("there are %d members", len(r.members))}
	case (!ok || member.Identity != c.Member.Identity) && r.tooManyRestarts(c.Member.Name):
		return specifier.Decision{Verdict: specifier.Full, Detail: "too many restarts are remembered"}
	}
	if ok && member.Identity != c.Member.Identity {
		r.recordDeparture(member)
	}
	joined := c.Member
	joined.State = specifier.Up
	if r.draining[joined.Name] {
		joined.State = specifier.Draining
	}
	r.setMember(joined)
	return specifier.Decision{Verdict: specifier.Applied}
}

// tooManyRestarts reports whether there is no space left to record the departure of another
// incarnation of name. Every current member can go Down, so space is reserved for all of them.
func (r *Registrar) tooManyRestarts(name string) bool {
	return len(r.departed.items)+len(r.members) >= specifier.MaxDeparted || r.departed.count(name) >= specifier.MaxRestarts
}

func (r *Registrar) end(c specifier.EndMember) specifier.Decision {
	if r.departed.contains(c.Identity) {
		return specifier.Decision{Verdict: specifier.Applied}
	}
	member, ok := r.members[c.Identity.Name]
	if !ok || member.Identity != c.Identity {
		return specifier.Decision{Verdict: specifier.Rejected, Detail: "Identity: unknown member " + c.Identity.String()}
	}
	r.recordDeparture(member)
	member.State = specifier.Down
	r.setMember(member)
	return specifier.Decision{Verdict: specifier.Applied}
}

func (r *Registrar) drain(c specifier.DrainMember) specifier.Decision {
	member, ok := r.members[c.Name]
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
	if ok && member.State != specifier.Down {
		member.State = specifier.Up
		if c.Draining {
			member.State = specifier.Draining
		}
		r.setMember(member)
	}
	return specifier.Decision{Verdict: specifier.Applied}
}

func (r *Registrar) setMember(member specifier.Member) {
	if r.members[member.Name] != member {
		r.members[member.Name] = member
		r.memberVersion++
	}
}

// MemberVersion returns the number of changes to the membership.
func (r *Registrar) MemberVersion() uint64 { return r.memberVersion }

// Member returns the member called name.
func (r *Registrar) Member(name string) (specifier.Member, bool) {
	member, ok := r.members[name]
	return member, ok
}

// Members returns all members, sorted by name.
func (r *Registrar) Members() []specifier.Member {
	members := make([]specifier.Member, 0, len(r.members))
	for _, name := range slices.Sorted(maps.Keys(r.members)) {
		members = append(members, r.members[name])
	}
	return members
}

// recordDeparture records that an incarnation goes Down, unless it already is.
func (r *Registrar) recordDeparture(member specifier.Member) {
	if member.State == specifier.Down {
		return
	}
	keepUntil := r.now.Add(specifier.MaxTimeLeft + specifier.KeyRetention + 2*retentionMargin)
	r.departed.add(departure{identity: member.Identity, role: member.Role, index: r.index, keepUntil: keepUntil})
}

// expireMembers removes members that have been Down for so long that no submission can refer to them.
func (r *Registrar) expireMembers() {
	for _, expired := range r.departed.expire(r.now) {
		if r.members[expired.identity.Name].Identity == expired.identity {
			delete(r.members, expired.identity.Name)
		}
	}
}

// isUp reports whether id is a member that is not Down.
func (r *Registrar) isUp(id specifier.Identity) bool {
	member, ok := r.members[id.Name]
	return ok && member.Identity == id && member.State != specifier.Down
}

// mayOwn reports whether id may become the owner of a job, that is, whether it is an entry that is
// not Down. A draining entry may, because it got the job before it learned that it is draining.
func (r *Registrar) mayOwn(id specifier.Identity) bool {
	return r.isUp(id) && r.members[id.Name].Role == specifier.Entry
}
