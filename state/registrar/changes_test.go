package registrar

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"oleandertally/core/specifier"
)

// Guards against a change that is applied twice, lost, half applied or reverted by a resend.
func TestChanges(t *testing.T) {
	run(t, map[string]func(*bench){
		"resend": func(b *bench) {
			decision := b.want(specifier.Applied, change("r1", "ana", 0, "a"))
			b.want(specifier.Applied, change("r2", "bea", 1, "b"))
			must.Eq(b.t, decision, b.want(specifier.Applied, change("r1", "ana", 0, "a")))
			must.Eq(b.t, 1, decision.Revision)
			must.Eq(b.t, 2, b.registrar.Configuration().Revision)
		},
		"resend to another leader": func(b *bench) {
			decision := b.want(specifier.Applied, change("r1", "ana", 0, "a"))
			b.registrar = restored(b.t, b.registrar)
			must.Eq(b.t, decision, b.want(specifier.Applied, change("r1", "ana", 0, "a")))
		},
		"race": func(b *bench) {
			b.want(specifier.Applied, change("r1", "ana", 0, "a"))
			b.want(specifier.Applied, change("r2", "carla", 1, "a"))
			lost := b.want(specifier.Conflict, change("r3", "bea", 0, "a"))
			must.Eq(b.t, "ana", lost.Operator)
			must.Eq(b.t, 2, lost.Revision)
			b.want(specifier.Applied, change("r4", "dora", 2, "a"))
			must.Eq(b.t, lost, b.want(specifier.Conflict, change("r3", "bea", 0, "a")))
		},
		"reused id": func(b *bench) {
			b.want(specifier.Applied, change("r1", "ana", 0, "a"))
			must.StrContains(b.t, b.want(specifier.Rejected, change("r1", "ana", 1, "b")).Detail, "RequestId: ")
			must.Eq(b.t, 1, b.registrar.Configuration().Revision)
		},
		"every problem": func(b *bench) {
			bad := change("r1", "ana", 0, "")
			bad.RemoveTeams = []string{"x"}
			detail := b.want(specifier.Rejected, bad).Detail
			must.StrContains(b.t, detail, "Profiles[0].Name: ")
			must.StrContains(b.t, detail, "RemoveTeams[0]: ")
			must.MapEmpty(b.t, b.registrar.Configuration().Profiles)
		},
		"future revision": func(b *bench) { b.want(specifier.Rejected, change("r1", "ana", 1, "a")) },
		"no request id":   func(b *bench) { b.want(specifier.Rejected, change("", "ana", 0, "a")) },
		"forgotten request": func(b *bench) {
			b.want(specifier.Applied, change("r1", "ana", 0, "a"))
			b.advance(specifier.RequestRetention)
			must.Eq(b.t, "ana", b.want(specifier.Conflict, change("r1", "ana", 0, "a")).Operator)
		},
		"bound": func(b *bench) {
			for i := range specifier.MaxRequests + 1 {
				b.apply(change(fmt.Sprint(i), "ana", specifier.Revision(i), "a"))
			}
			must.Eq(b.t, specifier.MaxRequests, len(b.registrar.requests.byID))
			b.want(specifier.Conflict, change("0", "ana", 0, "a"))
			must.Eq(b.t, 3, b.want(specifier.Applied, change("2", "ana", 2, "a")).Revision)
		},
	})
}

// Guards against members that come back from Down, and lists that grow without bound.
func TestMembers(t *testing.T) {
	run(t, map[string]func(*bench){
		"drain outlives a restart": func(b *bench) {
			b.want(specifier.Applied, specifier.DrainMember{Name: "agent-1", Draining: true})
			b.join(specifier.Agent, identity("agent-1", 8))
			known, _ := b.registrar.Member("agent-1")
			must.Eq(b.t, specifier.Draining, known.State)
			b.want(specifier.Applied, specifier.DrainMember{Name: "agent-1"})
			known, _ = b.registrar.Member("agent-1")
			must.Eq(b.t, specifier.Up, known.State)
		},
		"old incarnation": func(b *bench) {
			b.join(specifier.Agent, identity("agent-1", 8))
			b.want(specifier.Fenced, specifier.JoinMember{Member: member(specifier.Agent, worker)})
			b.want(specifier.Applied, specifier.EndMember{Identity: worker})
			known, _ := b.registrar.Member("agent-1")
			must.Eq(b.t, specifier.Up, known.State)
		},
		"down member is forgotten": func(b *bench) {
			b.want(specifier.Applied, specifier.EndMember{Identity: worker})
			b.want(specifier.Fenced, specifier.JoinMember{Member: member(specifier.Agent, worker)})
			b.advance(2 * time.Hour)
			must.Eq(b.t, 2, len(b.registrar.Members()))
			must.SliceEmpty(b.t, b.registrar.departed.items)
		},
		"crash loop": func(b *bench) {
			for i := range uint64(specifier.MaxRestarts) {
				b.join(specifier.Agent, identity("agent-1", 100+i))
			}
			b.want(specifier.Full, specifier.JoinMember{Member: member(specifier.Agent, identity("agent-1", 999))})
			b.join(specifier.Agent, identity("agent-2", 1))
			b.advance(2 * time.Hour)
			b.join(specifier.Agent, identity("agent-1", 999))
		},
		"too many": func(b *bench) {
			for i := 3; i < specifier.MaxMembers; i++ {
				b.join(specifier.Agent, identity(fmt.Sprint(i), 1))
			}
			b.want(specifier.Full, specifier.JoinMember{Member: member(specifier.Agent, identity("x", 1))})
		},
	})
}
