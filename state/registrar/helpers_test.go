package registrar

import (
	"bytes"
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"oleandertally/core/specifier"
)

// bench drives a registrar in tests: each call applies one batch.
type bench struct {
	t         must.T
	registrar *Registrar
}

func newBench(t must.T) *bench { return &bench{t: t, registrar: New(100)} }

func (b *bench) apply(command specifier.Command) specifier.Decision {
	return b.registrar.Apply(b.registrar.Index()+1, Batch{Commands: []specifier.Command{command}})[0]
}

func (b *bench) advance(by time.Duration) {
	b.registrar.Apply(b.registrar.Index()+1, Batch{Advance: by})
}

func (b *bench) join(role specifier.Role, id specifier.Identity) {
	b.want(specifier.Applied, specifier.JoinMember{Member: member(role, id)})
}

// want asserts the verdict of command.
func (b *bench) want(verdict specifier.Verdict, command specifier.Command) specifier.Decision {
	b.t.Helper()
	decision := b.apply(command)
	must.Eq(b.t, verdict, decision.Verdict, must.Sprintf("%T: %+v", command, decision))
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

func encoded(t must.T, r *Registrar) []byte {
	t.Helper()
	var buffer bytes.Buffer
	must.NoError(t, r.Image().Encode(&buffer))
	return buffer.Bytes()
}

// restored returns the registrar that another controller reads from the snapshot of r.
func restored(t must.T, r *Registrar) *Registrar {
	t.Helper()
	copied, err := Decode(bytes.NewReader(encoded(t, r)), r.MaxSubmissions)
	must.NoError(t, err)
	return copied
}

// mustEncodeSame asserts that two replicas have the same state.
func mustEncodeSame(t must.T, a, b *Registrar) {
	t.Helper()
	must.True(t, bytes.Equal(encoded(t, a), encoded(t, b)))
}

var (
	first  = identity("entry-1", 1)
	second = identity("entry-2", 2)
	worker = identity("agent-1", 3)
)

// run runs each test with two entries and an agent that are up.
func run(t *testing.T, tests map[string]func(*bench)) {
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			b := newBench(t)
			b.join(specifier.Entry, first)
			b.join(specifier.Entry, second)
			b.join(specifier.Agent, worker)
			test(b)
			mustEncodeSame(t, b.registrar, restored(t, b.registrar))
		})
	}
}
