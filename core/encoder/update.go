package encoder

import (
	"cmp"
	"slices"
	"time"

	"oleandertally/core/specifier"
)

// maxLease is the longest lease that a controller grants.
const maxLease = time.Minute

// EncodeUpdate copies every field.
func EncodeUpdate(u specifier.Update) *Update {
	m := &Update{Expelled: u.Expelled, NotLeader: u.NotLeader, Leader: formatAddr(u.Leader), Lease: int64(u.Lease),
		Whole: u.MembersComplete, MemberVersion: u.MemberVersion, Shares: encodeShares(u.Shares)}
	if u.Configuration != nil {
		m.Configuration = EncodeConfiguration(*u.Configuration)
	}
	for _, member := range u.Members {
		m.Members = append(m.Members, EncodeMember(member))
	}
	return m
}

// DecodeUpdate returns every problem of the message's fields together.
func DecodeUpdate(m *Update) (specifier.Update, error) {
	c := &checker{}
	u := specifier.Update{Expelled: m.GetExpelled(), NotLeader: m.GetNotLeader(), Leader: c.optionalAddr("Update.Leader", m.GetLeader()),
		Lease: c.duration("Update.Lease", m.GetLease(), 0, maxLease), MembersComplete: m.GetWhole(), MemberVersion: m.GetMemberVersion(),
		Shares: c.shares("Update.Shares", m.GetShares())}
	if m.GetConfiguration() != nil {
		configuration := c.configuration("Update.Configuration", m.GetConfiguration())
		u.Configuration = &configuration
	}
	if c.length("Update.Members", len(m.GetMembers()), specifier.MaxMembers) {
		for i, member := range m.GetMembers() {
			u.Members = append(u.Members, c.member(indexed("Update.Members", i), member))
		}
	}
	slices.SortFunc(u.Members, func(a, b specifier.Member) int { return cmp.Compare(a.Name, b.Name) })
	return u, c.err()
}
