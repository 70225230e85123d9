package encoder

import "oleandertally/core/specifier"

// EncodeMember copies every field.
func EncodeMember(m specifier.Member) *Member {
	return &Member{Identity: EncodeIdentity(m.Identity), Role: string(m.Role), Addr: formatAddr(m.Addr), Zone: m.Zone,
		Rack: m.Rack, Service: m.Service, Slots: int32(m.Slots), State: string(m.State)}
}

// DecodeMember accepts an empty State, because a member that announces itself does not set it.
func DecodeMember(m *Member) (specifier.Member, error) {
	c := &checker{}
	member := c.member("Member", m)
	return member, c.err()
}

func (c *checker) member(path string, m *Member) specifier.Member {
	if !c.require(path, m != nil) {
		return specifier.Member{}
	}
	return specifier.Member{
		Identity: c.identity(path+".Identity", m.Identity),
		Role:     oneOf(c, path+".Role", m.Role, specifier.Entry, specifier.Agent, specifier.Controller),
		Addr:     c.addr(path+".Addr", m.Addr),
		Zone:     c.name(path+".Zone", m.Zone),
		Rack:     c.text(path+".Rack", m.Rack, specifier.MaxName),
		Service:  c.text(path+".Service", m.Service, specifier.MaxName),
		Slots:    c.count(path+".Slots", m.Slots, 0, specifier.MaxSlots),
		State:    oneOf(c, path+".State", m.State, "", specifier.Up, specifier.Draining, specifier.Down),
	}
}
