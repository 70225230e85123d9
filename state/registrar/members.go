package registrar

import (
	"maps"
	"slices"

	"oleandertally/core/specifier"
)

func (r *Registrar) join(c specifier.JoinMember) specifier.Decision {
	known, ok := r.members[c.Member.Name]
	if ok && known.Identity != c.Member.Identity {
		if r.isDeparted(c.Member.Identity) {
			return specifier.Decision{Verdict: specifier.Fenced}
		}
		r.depart(known)
	}
	if ok && known.Identity == c.Member.Identity && known.State == specifier.Down {
		return specifier.Decision{Verdict: specifier.Fenced}
	}
	joined := c.Member
	joined.State = specifier.Up
	if r.draining[joined.Name] {
		joined.State = specifier.Draining
	}
	r.setMember(joined)
	return specifier.Decision{Verdict: specifier.Applied}
}

func (r *Registrar) end(c specifier.EndMember) specifier.Decision {
	known, ok := r.members[c.Identity.Name]
	if !ok || known.Identity != c.Identity {
		return specifier.Decision{Verdict: specifier.Rejected, Detail: "unknown member " + c.Identity.String()}
	}
	r.depart(known)
	known.State = specifier.Down
	r.setMember(known)
	return specifier.Decision{Verdict: specifier.Applied}
}

func (r *Registrar) drain(c specifier.DrainMember) specifier.Decision {
	known, ok := r.members[c.Name]
	if !ok {
		return specifier.Decision{Verdict: specifier.Rejected, Detail: "unknown member " + c.Name}
	}
	if c.Draining {
		r.draining[c.Name] = true
	} else {
		delete(r.draining, c.Name)
	}
	if known.State != specifier.Down {
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

// Configuration returns the configuration in force. It must not be changed.
func (r *Registrar) Configuration() specifier.Configuration { return r.configuration }

func (r *Registrar) depart(known specifier.Member) {
	if known.State == specifier.Down {
		return
	}
	keep := r.now.Add(specifier.MaxTimeLeft + specifier.KeyRetention)
	r.departed = append(r.departed, departure{identity: known.Identity, role: known.Role, index: r.index, keep: keep})
	for len(r.departed) > 0 && !r.departed[0].keep.After(r.now) {
		r.departed = r.departed[1:]
	}
}

func (r *Registrar) isDown(id specifier.Identity) bool {
	known, ok := r.members[id.Name]
	return !ok || known.Identity != id || known.State == specifier.Down
}

func (r *Registrar) isDeparted(id specifier.Identity) bool {
	return slices.ContainsFunc(r.departed, func(d departure) bool { return d.identity == id })
}

// departedSince returns the agents that went Down after the batch at index.
func (r *Registrar) departedSince(index uint64) []specifier.Identity {
	var gone []specifier.Identity
	for _, d := range r.departed {
		if d.index >= index && d.role == specifier.Agent {
			gone = append(gone, d.identity)
		}
	}
	return gone
}
