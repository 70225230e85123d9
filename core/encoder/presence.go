package encoder

import "oleandertally/core/specifier"

// EncodePresence copies every field.
func EncodePresence(p specifier.Presence) *Presence {
	m := &Presence{Revision: uint64(p.Revision)}
	if p.Member != nil {
		m.Member = EncodeMember(*p.Member)
	}
	return m
}

// DecodePresence returns every problem of the message's fields together.
func DecodePresence(m *Presence) (specifier.Presence, error) {
	c := &checker{}
	p := specifier.Presence{Revision: specifier.Revision(m.GetRevision())}
	if m.GetMember() != nil {
		member := c.member("Presence.Member", m.GetMember())
		p.Member = &member
	}
	return p, c.err()
}
