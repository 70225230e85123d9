package registrant

import (
	"cmp"
	"slices"

	"oleandertally/core/specifier"
)

// roster is the membership as received so far.
type roster struct {
	members map[string]specifier.Member
	version uint64
}

// merge applies an update and returns every member, or nil when nothing changed.
func (r *roster) merge(update specifier.Update) []specifier.Member {
	if r.members == nil || update.MembersComplete {
		r.members = make(map[string]specifier.Member)
	}
	for _, member := range update.Members {
		r.members[member.Name] = member
	}
	changed := update.MembersComplete || len(update.Members) > 0 || update.MemberVersion != r.version
	r.version = update.MemberVersion
	if !changed {
		return nil
	}
	all := make([]specifier.Member, 0, len(r.members))
	for _, member := range r.members {
		all = append(all, member)
	}
	slices.SortFunc(all, func(a, b specifier.Member) int { return cmp.Compare(a.Name, b.Name) })
	return all
}
