package encoder

import "oleandertally/core/specifier"

// EncodeHeartbeat copies every field.
func EncodeHeartbeat(p specifier.Heartbeat) *Presence {
	m := &Presence{Revision: uint64(p.Revision), Needs: encodeShares(p.Needs)}
	if p.Member != nil {
		m.Member = EncodeMember(*p.Member)
	}
	if p.Load != nil {
		m.Load = &Load{Slots: int32(p.Load.Slots), Running: int32(p.Load.Running), Queued: int32(p.Load.Queued)}
	}
	return m
}

// DecodeHeartbeat returns every problem of the message's fields together.
func DecodeHeartbeat(m *Presence) (specifier.Heartbeat, error) {
	c := &checker{}
	p := specifier.Heartbeat{Revision: specifier.Revision(m.GetRevision()), Needs: c.shares("Presence.Needs", m.GetNeeds())}
	if m.GetMember() != nil {
		member := c.member("Presence.Member", m.GetMember())
		p.Member = &member
	}
	if load := m.GetLoad(); load != nil {
		p.Load = &specifier.Load{Slots: int(load.GetSlots()), Running: int(load.GetRunning()), Queued: int(load.GetQueued())}
		if min(p.Load.Slots, p.Load.Running, p.Load.Queued) < 0 {
			c.problems.Add("Presence.Load", "has a negative count")
		}
	}
	return p, c.err()
}
