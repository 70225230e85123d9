package encoder

import (
	"time"

	"oleandertally/core/specifier"
)

// EncodeProfile copies every field.
func EncodeProfile(p specifier.Profile) *Profile {
	return &Profile{Name: p.Name, Service: p.Service, Repeatable: p.Repeatable, MaxTimeLeft: int64(p.MaxTimeLeft),
		TypicalTime: int64(p.TypicalTime), QueueBound: int32(p.QueueBound), RetryBudget: p.RetryBudget,
		Priority: int32(p.Priority), LongShare: p.LongShare, BreakerAfter: int32(p.BreakerAfter)}
}

// DecodeProfile applies specifier.Profile.Check.
func DecodeProfile(m *Profile) (specifier.Profile, error) {
	c := &checker{}
	profile := c.profile("Profile", m)
	return profile, c.err()
}

func (c *checker) profile(path string, m *Profile) specifier.Profile {
	profile := c.rawProfile(path, m)
	if m != nil {
		c.problems.Merge(path, profile.Check())
	}
	return profile
}

// rawProfile does not check the values: the registrar checks them and reports every problem of a
// change together.
func (c *checker) rawProfile(path string, m *Profile) specifier.Profile {
	if !c.require(path, m != nil) {
		return specifier.Profile{}
	}
	return specifier.Profile{
		Name:        c.text(path+".Name", m.Name, specifier.MaxName),
		Service:     c.text(path+".Service", m.Service, specifier.MaxName),
		Repeatable:  m.Repeatable,
		MaxTimeLeft: time.Duration(m.MaxTimeLeft), TypicalTime: time.Duration(m.TypicalTime),
		QueueBound: int(m.QueueBound), RetryBudget: m.RetryBudget, Priority: int(m.Priority),
		LongShare: m.LongShare, BreakerAfter: int(m.BreakerAfter),
	}
}
