package encoder

import "oleandertally/core/specifier"

// EncodeIdentity returns nil for the zero identity.
func EncodeIdentity(id specifier.Identity) *Identity {
	if id.IsZero() {
		return nil
	}
	return &Identity{Name: id.Name, Incarnation: uint64(id.Incarnation)}
}

// DecodeIdentity refuses an absent identity and one without a name.
func DecodeIdentity(m *Identity) (specifier.Identity, error) {
	c := &checker{}
	id := c.identity("Identity", m)
	return id, c.err()
}

func (c *checker) identity(path string, m *Identity) specifier.Identity {
	if !c.require(path, m != nil) {
		return specifier.Identity{}
	}
	return specifier.Identity{Name: c.name(path+".Name", m.Name), Incarnation: specifier.Incarnation(m.Incarnation)}
}

func (c *checker) optionalIdentity(path string, m *Identity) specifier.Identity {
	if m == nil {
		return specifier.Identity{}
	}
	return c.identity(path, m)
}
