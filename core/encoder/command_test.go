package encoder

import (
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"oleandertally/core/specifier"
)

var (
	owner  = specifier.Identity{Name: "entry-1", Incarnation: 7}
	member = specifier.Member{Identity: owner, Role: specifier.Entry, Addr: netip.MustParseAddrPort("127.0.0.1:9"),
		Zone: "alajuela", Rack: "r1", Service: "reservas", Slots: 8, State: specifier.Up}
	profile = specifier.Profile{Name: "hold", Service: "reservas", TypicalTime: time.Second, RetryBudget: 0.1}
)

func commands() map[string]specifier.Command {
	job := specifier.NewJobID("team", "key")
	return map[string]specifier.Command{
		"accept": specifier.AcceptJob{Job: job, Digest: specifier.Digest{1}, Owner: owner, TaskCount: 270, Revision: 3,
			TimeLeft: time.Minute},
		"take over": specifier.TakeOverJob{Job: job, Digest: specifier.Digest{1}, Owner: owner, Replaces: 1,
			TimeLeft: time.Minute},
		"finish": specifier.FinishJob{Job: job, Owner: owner, Epoch: 2,
			Answer: specifier.Fail(specifier.WorkerLost, "task a", true)},
		"release": specifier.ReleaseJob{Job: job, Owner: owner, Epoch: 2},
		"cancel":  specifier.CancelJob{Job: job},
		"join":    specifier.JoinMember{Member: member},
		"end":     specifier.EndMember{Identity: owner},
		"drain":   specifier.DrainMember{Name: "entry-1", Draining: true},
		"change": specifier.ChangeConfiguration{RequestID: "r", Operator: "o", From: 4,
			Profiles: []specifier.Profile{profile}, Teams: []specifier.Team{{Name: "t", Share: 2}},
			RemoveProfiles: []string{"a"}, RemoveTeams: []string{"b"}},
	}
}

// Guards against a field that one direction of the conversion omits.
func TestCommandSurvivesConversion(t *testing.T) {
	for name, command := range commands() {
		t.Run(name, func(t *testing.T) {
			raw, err := proto.Marshal(EncodeCommand(command))
			must.NoError(t, err)
			var m Command
			must.NoError(t, proto.Unmarshal(raw, &m))
			decoded, err := DecodeCommand(&m)
			must.NoError(t, err)
			must.Eq(t, command, decoded)
		})
	}
}

func mustRefuse(t *testing.T, command specifier.Command, field string) {
	t.Helper()
	decoded, err := DecodeCommand(EncodeCommand(command))
	must.Nil(t, decoded)
	must.ErrorContains(t, err, field)
}

// Guards against hostile values that reach the replicated state, and against errors that do not name the field.
func TestCommandRefusesInvalidFields(t *testing.T) {
	job := specifier.JobID{1}
	long := string(make([]byte, specifier.MaxName+1))
	accept := commands()["accept"].(specifier.AcceptJob)
	t.Run("kind", func(t *testing.T) {
		_, err := DecodeCommand(&Command{})
		must.ErrorContains(t, err, "Command.Kind")
	})
	t.Run("job", func(t *testing.T) {
		_, err := DecodeCommand(&Command{Kind: &Command_CancelJob{CancelJob: &CancelJob{Job: []byte("short")}}})
		must.ErrorContains(t, err, "CancelJob.Job")
	})
	t.Run("owner", func(t *testing.T) {
		mustRefuse(t, specifier.ReleaseJob{Job: job, Epoch: 1}, "ReleaseJob.Owner")
	})
	t.Run("epoch", func(t *testing.T) {
		mustRefuse(t, specifier.ReleaseJob{Job: job, Owner: owner}, "ReleaseJob.Epoch")
	})
	t.Run("tasks", func(t *testing.T) {
		accept.TaskCount = specifier.MaxTasks + 1
		mustRefuse(t, accept, "AcceptJob.TaskCount")
	})
	t.Run("time left", func(t *testing.T) {
		accept.TimeLeft = specifier.MaxTimeLeft + 1
		mustRefuse(t, accept, "AcceptJob.TimeLeft")
	})
	t.Run("long name", func(t *testing.T) {
		mustRefuse(t, specifier.DrainMember{Name: long}, "DrainMember.Name")
	})
	t.Run("address", func(t *testing.T) {
		without := member
		without.Addr = netip.AddrPort{}
		mustRefuse(t, specifier.JoinMember{Member: without}, "JoinMember.Member.Addr")
	})
	t.Run("list", func(t *testing.T) {
		mustRefuse(t, specifier.ChangeConfiguration{RequestID: "r", Operator: "o",
			RemoveTeams: make([]string, specifier.MaxTeams+1)}, "ChangeConfiguration.RemoveTeams")
	})
}

// Guards against a panic or an endless loop on bytes from a faulty peer or a damaged log entry,
// and against a command that changes when it is encoded again.
func FuzzDecodeCommand(f *testing.F) {
	for _, command := range commands() {
		raw, err := proto.Marshal(EncodeCommand(command))
		must.NoError(f, err)
		f.Add(raw)
		f.Add(raw[:len(raw)/2])
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		var m Command
		if proto.Unmarshal(raw, &m) != nil {
			return
		}
		command, err := DecodeCommand(&m)
		if err != nil {
			return
		}
		again, err := DecodeCommand(EncodeCommand(command))
		must.NoError(t, err)
		must.True(t, proto.Equal(EncodeCommand(command), EncodeCommand(again)))
	})
}
