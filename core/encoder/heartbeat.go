package encoder

import "oleandertally/core/specifier"

// EncodeHeartbeat copies every field.
func EncodeHeartbeat(heartbeat specifier.Heartbeat) *Presence {
	m := &Presence{Revision: uint64(heartbeat.Revision), Needs: encodeShares(heartbeat.Needs)}
	if heartbeat.Member != nil {
		m.Member = EncodeMember(*heartbeat.Member)
	}
	if heartbeat.Load != nil {
		m.Load = &Load{Slots: int32(heartbeat.Load.Slots), Running: int32(heartbeat.Load.Running), Queued: int32(heartbeat.Load.Queued)}
	}
	return m
}

// DecodeHeartbeat returns every problem of the message's fields together.
func DecodeHeartbeat(m *Presence) (specifier.Heartbeat, error) {
	c := &checker{}
	heartbeat := specifier.Heartbeat{Revision: specifier.Revision(m.GetRevision()), Needs: c.shares("Presence.Needs", m.GetNeeds())}
	if m.GetMember() != nil {
		member := c.member("Presence.Member", m.GetMember())
		heartbeat.Member = &member
	}
	if load := m.GetLoad(); load != nil {
		heartbeat.Load = &specifier.Load{Slots: int(load.GetSlots()), Running: int(load.GetRunning()), Queued: int(load.GetQueued())}
		if min(heartbeat.Load.Slots, heartbeat.Load.Running, heartbeat.Load.Queued) < 0 {
			c.problems.Add("Presence.Load", "has a negative count")
		}
	}
	return heartbeat, c.err()
}
