package registrar

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"oleandertally/core/specifier"
)

// Guards against a configuration change that is applied twice, applied in part, lost, or reverted by a resend.
func TestChanges(t *testing.T) {
	runWithMembers(t, map[string]func(*fixture){
		"resend": func(f *fixture) {
			decision := f.mustDecide(specifier.Applied, change("r1", "ana", 0, "a"))
			f.mustDecide(specifier.Applied, change("r2", "bea", 1, "b"))
			must.Eq(f.t, decision, f.mustDecide(specifier.Applied, change("r1", "ana", 0, "a")))
			must.Eq(f.t, 1, decision.Revision)
			must.Eq(f.t, 2, f.registrar.Configuration().Revision)
		},
		"resend to another leader": func(f *fixture) {
			decision := f.mustDecide(specifier.Applied, change("r1", "ana", 0, "a"))
			f.registrar = restoreFromImage(f.t, f.registrar)
			must.Eq(f.t, decision, f.mustDecide(specifier.Applied, change("r1", "ana", 0, "a")))
		},
		"race": func(f *fixture) {
			f.mustDecide(specifier.Applied, change("r1", "ana", 0, "a"))
			f.mustDecide(specifier.Applied, change("r2", "carla", 1, "a"))
			conflict := f.mustDecide(specifier.Conflict, change("r3", "bea", 0, "a"))
			must.Eq(f.t, "ana", conflict.Operator)
			must.Eq(f.t, 2, conflict.Revision)
			f.mustDecide(specifier.Applied, change("r4", "dora", 2, "a"))
			must.Eq(f.t, conflict, f.mustDecide(specifier.Conflict, change("r3", "bea", 0, "a")))
		},
		"reused id": func(f *fixture) {
			f.mustDecide(specifier.Applied, change("r1", "ana", 0, "a"))
			must.StrContains(f.t, f.mustDecide(specifier.Rejected, change("r1", "ana", 1, "b")).Detail, "RequestId: ")
			must.Eq(f.t, 1, f.registrar.Configuration().Revision)
		},
		"every problem": func(f *fixture) {
			invalid := change("r1", "ana", 0, "")
			invalid.RemoveTeams = []string{"x"}
			detail := f.mustDecide(specifier.Rejected, invalid).Detail
			must.StrContains(f.t, detail, "Profiles[0].Name: ")
			must.StrContains(f.t, detail, "RemoveTeams[0]: ")
			must.MapEmpty(f.t, f.registrar.Configuration().Profiles)
		},
		"future revision": func(f *fixture) { f.mustDecide(specifier.Rejected, change("r1", "ana", 1, "a")) },
		"no request id":   func(f *fixture) { f.mustDecide(specifier.Rejected, change("", "ana", 0, "a")) },
		"expired request": func(f *fixture) {
			f.mustDecide(specifier.Applied, change("r1", "ana", 0, "a"))
			f.advance(specifier.RequestRetention)
			must.Eq(f.t, "ana", f.mustDecide(specifier.Conflict, change("r1", "ana", 0, "a")).Operator)
		},
		"request limit": func(f *fixture) {
			for i := range specifier.MaxRequests + 1 {
				f.apply(change(fmt.Sprint(i), "ana", specifier.Revision(i), "a"))
			}
			must.Eq(f.t, specifier.MaxRequests, len(f.registrar.requests.byID))
			f.mustDecide(specifier.Conflict, change("0", "ana", 0, "a"))
			must.Eq(f.t, 3, f.mustDecide(specifier.Applied, change("2", "ana", 2, "a")).Revision)
		},
	})
}

// Guards against an incarnation that returns after it went Down, and against unbounded lists of members and departures.
func TestMembers(t *testing.T) {
	runWithMembers(t, map[string]func(*fixture){
		"drain outlives a restart": func(f *fixture) {
			f.mustDecide(specifier.Applied, specifier.DrainMember{Name: "agent-1", Draining: true})
			f.join(specifier.Agent, identity("agent-1", 8))
			member, _ := f.registrar.Member("agent-1")
			must.Eq(f.t, specifier.Draining, member.State)
			f.mustDecide(specifier.Applied, specifier.DrainMember{Name: "agent-1"})
			member, _ = f.registrar.Member("agent-1")
			must.Eq(f.t, specifier.Up, member.State)
		},
		"old incarnation": func(f *fixture) {
			f.join(specifier.Agent, identity("agent-1", 8))
			f.mustDecide(specifier.Fenced, specifier.JoinMember{Member: member(specifier.Agent, agent)})
			f.mustDecide(specifier.Applied, specifier.EndMember{Identity: agent})
			member, _ := f.registrar.Member("agent-1")
			must.Eq(f.t, specifier.Up, member.State)
		},
		"down member expires": func(f *fixture) {
			f.mustDecide(specifier.Applied, specifier.EndMember{Identity: agent})
			f.mustDecide(specifier.Fenced, specifier.JoinMember{Member: member(specifier.Agent, agent)})
			f.advance(2 * time.Hour)
			must.Eq(f.t, 2, len(f.registrar.Members()))
			must.SliceEmpty(f.t, f.registrar.departed.items)
		},
		"crash loop": func(f *fixture) {
			for i := range uint64(specifier.MaxRestarts) {
				f.join(specifier.Agent, identity("agent-1", 100+i))
			}
			f.mustDecide(specifier.Full, specifier.JoinMember{Member: member(specifier.Agent, identity("agent-1", 999))})
			f.join(specifier.Agent, identity("agent-2", 1))
			f.advance(2 * time.Hour)
			f.join(specifier.Agent, identity("agent-1", 999))
		},
		"member limit": func(f *fixture) {
			for i := 3; i < specifier.MaxMembers; i++ {
				f.join(specifier.Agent, identity(fmt.Sprint(i), 1))
			}
			f.mustDecide(specifier.Full, specifier.JoinMember{Member: member(specifier.Agent, identity("x", 1))})
		},
	})
}
