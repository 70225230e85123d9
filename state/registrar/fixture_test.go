package registrar

import (
	"bytes"
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"oleandertally/core/specifier"
)

// fixture is a registrar under test. Each call applies one batch.
type fixture struct {
	t         must.T
	registrar *Registrar
}

func newFixture(t must.T) *fixture { return &fixture{t: t, registrar: New(100)} }

func (f *fixture) apply(command specifier.Command) specifier.Decision {
	return f.registrar.Apply(f.registrar.Index()+1, Batch{Commands: []specifier.Command{command}})[0]
}

func (f *fixture) advance(by time.Duration) {
	f.registrar.Apply(f.registrar.Index()+1, Batch{Advance: by})
}

func (f *fixture) join(role specifier.Role, id specifier.Identity) {
	f.mustDecide(specifier.Applied, specifier.JoinMember{Member: member(role, id)})
}

// mustDecide applies command and asserts the verdict.
func (f *fixture) mustDecide(verdict specifier.Verdict, command specifier.Command) specifier.Decision {
	f.t.Helper()
	decision := f.apply(command)
	must.Eq(f.t, verdict, decision.Verdict, must.Sprintf("%T: %+v", command, decision))
	return decision
}

func member(role specifier.Role, id specifier.Identity) specifier.Member {
	return specifier.Member{Identity: id, Role: role, Addr: netip.MustParseAddrPort("127.0.0.1:7000"), Zone: "heredia"}
}

func identity(name string, incarnation uint64) specifier.Identity {
	return specifier.Identity{Name: name, Incarnation: specifier.Incarnation(incarnation)}
}

func accept(job byte, owner specifier.Identity) specifier.AcceptJob {
	return specifier.AcceptJob{Job: specifier.JobID{job}, Digest: specifier.Digest{job}, Owner: owner, TaskCount: 1,
		Revision: 1 << 40, TimeLeft: time.Minute}
}

func takeOver(job byte, owner specifier.Identity, replaces specifier.Epoch) specifier.TakeOverJob {
	return specifier.TakeOverJob{Job: specifier.JobID{job}, Digest: specifier.Digest{job}, Owner: owner, Replaces: replaces,
		Revision: 1 << 40, TimeLeft: time.Minute}
}

func finish(job byte, owner specifier.Identity, epoch specifier.Epoch, reason specifier.Reason) specifier.FinishJob {
	return specifier.FinishJob{Job: specifier.JobID{job}, Owner: owner, Epoch: epoch, Answer: specifier.Fail(reason, "task", true)}
}

func change(id, operator string, from specifier.Revision, profile string) specifier.ChangeConfiguration {
	return specifier.ChangeConfiguration{RequestID: id, Operator: operator, From: from,
		Profiles: []specifier.Profile{{Name: profile, Service: "reservas"}}}
}

func encodeImage(t must.T, r *Registrar) []byte {
	t.Helper()
	var buffer bytes.Buffer
	must.NoError(t, r.Image().Encode(&buffer))
	return buffer.Bytes()
}

// restoreFromImage returns a copy of r that is decoded from its encoded image, as on another controller.
func restoreFromImage(t must.T, r *Registrar) *Registrar {
	t.Helper()
	decoded, err := Decode(bytes.NewReader(encodeImage(t, r)), r.MaxSubmissions)
	must.NoError(t, err)
	return decoded
}

// mustEncodeSame asserts that two replicas have the same encoded state.
func mustEncodeSame(t must.T, a, b *Registrar) {
	t.Helper()
	must.True(t, bytes.Equal(encodeImage(t, a), encodeImage(t, b)))
}

var (
	firstEntry  = identity("entry-1", 1)
	secondEntry = identity("entry-2", 2)
	agent       = identity("agent-1", 3)
)

// runWithMembers runs each test on a registrar with two entries and an agent that are Up.
func runWithMembers(t *testing.T, tests map[string]func(*fixture)) {
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.join(specifier.Entry, firstEntry)
			f.join(specifier.Entry, secondEntry)
			f.join(specifier.Agent, agent)
			test(f)
			mustEncodeSame(t, f.registrar, restoreFromImage(t, f.registrar))
		})
	}
}
