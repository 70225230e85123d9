package configurator

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"oleandertally/core/specifier"
)

const examples = "../../examples/settings"

// agentText is a valid settings file of an agent. Tests replace one line of it by a mistake.
const agentText = `Name: agent-1
Zone: alajuela
Rack: rack-1
Service: reservas
AgentAddr: 10.0.0.1:7201
AnnounceAddr: 127.0.0.1:7202
MetricsAddr: 10.0.0.1:7203
Controllers: [10.0.0.9:7101]
Security: {Insecure: true}
`

func mustReject(t *testing.T, err error, expected ...string) {
	t.Helper()
	var problems Problems
	must.True(t, errors.As(err, &problems), must.Sprintf("expected problems, got %v", err))
	must.Eq(t, strings.Join(expected, "\n"), problems.Error())
}

func mustRead[S any, P interface {
	*S
	settings
}](t *testing.T, file string) S {
	t.Helper()
	value, err := Read[S, P](filepath.Join(examples, file))
	must.NoError(t, err)
	return value
}

func TestExamples(t *testing.T) {
	// Guards against example files that the programs reject.
	load := map[string]func(t *testing.T, file string){
		"onehost.yaml":          mustHaveProcesses(1, 1, 2),
		"alisio.yaml":           mustHaveProcesses(3, 3, 11),
		"eslabon.yaml":          mustHaveProcesses(3, 3, 11),
		"entry.yaml":            func(t *testing.T, file string) { mustRead[EntrySettings](t, file) },
		"agent.yaml":            func(t *testing.T, file string) { mustRead[AgentSettings](t, file) },
		"controller.yaml":       func(t *testing.T, file string) { mustRead[ControllerSettings](t, file) },
		"operator.yaml":         func(t *testing.T, file string) { mustRead[OperatorSettings](t, file) },
		"alisio-profiles.yaml":  func(t *testing.T, file string) { mustRead[ProfileSettings](t, file) },
		"local-profiles.yaml":   func(t *testing.T, file string) { mustRead[ProfileSettings](t, file) },
		"eslabon-profiles.yaml": func(t *testing.T, file string) { mustRead[ProfileSettings](t, file) },
	}
	files, err := os.ReadDir(examples)
	must.NoError(t, err)
	must.Len(t, len(load), files)
	for _, file := range files {
		t.Run(file.Name(), func(t *testing.T) {
			must.MapContainsKey(t, load, file.Name())
			load[file.Name()](t, file.Name())
		})
	}
}

func mustHaveProcesses(controllers, entries, agents int) func(t *testing.T, file string) {
	return func(t *testing.T, file string) {
		t.Helper()
		site := mustRead[DeploymentSettings](t, file)
		must.Len(t, controllers, site.Controllers)
		must.Len(t, entries, site.Entries)
		must.Len(t, agents, site.Agents)
		racks := make(map[string]int)
		for _, agent := range site.Agents {
			must.Len(t, controllers, agent.Controllers)
			racks[agent.Rack]++
		}
		for _, workers := range racks {
			must.LessEq(t, 3, workers)
		}
	}
}

func TestValues(t *testing.T) {
	// Guards against keys that are read into the wrong field, and against missing defaults.
	t.Run("set", func(t *testing.T) {
		s := mustRead[ControllerSettings](t, "controller.yaml")
		must.Eq(t, "10.20.1.5:7101", s.Addr.String())
		must.Eq(t, 700*time.Millisecond, s.LeaderLease)
		must.Eq(t, "controller-cartago", s.Peers[2].Name)
		must.Eq(t, NewTokenDigest("example-token-operator-1"), s.Security.Operators[0].Digests[0])
	})
	t.Run("defaults", func(t *testing.T) {
		s, err := Parse[AgentSettings]("agent.yaml", []byte(agentText))
		must.NoError(t, err)
		must.Eq(t, 64, s.MaxConnections)
		must.Eq(t, 30*time.Second, s.StopWithin)
		must.Eq(t, 32*Mebibyte, s.MaxMessage)
	})
	t.Run("examples state the defaults", func(t *testing.T) {
		must.Eq(t, Defaults[EntrySettings]().Limits, mustRead[EntrySettings](t, "entry.yaml").Limits)
	})
	t.Run("relative paths", func(t *testing.T) {
		site := mustRead[DeploymentSettings](t, "onehost.yaml")
		controller, ok := site.Controller("controller-1")
		must.True(t, ok)
		must.Eq(t, filepath.Join(examples, "data/controller-1"), controller.DataFolder)
	})
	t.Run("profiles", func(t *testing.T) {
		s := mustRead[ProfileSettings](t, "eslabon-profiles.yaml")
		must.Eq(t, specifier.Profile{Name: "precio", Service: "cotizador", Repeatable: true,
			MaxTimeLeft: 5 * time.Second, TypicalTime: 150 * time.Millisecond, Priority: 5, RetryBudget: 0.2}, s.Profiles[0])
	})
}

func TestFiveMistakes(t *testing.T) {
	// Guards against a reader that reports one mistake at a time, or without file, line and field.
	_, err := Read[AgentSettings]("testdata/five.yaml")
	mustReject(t, err,
		`testdata/five.yaml:3: Zoen: unknown key; expected one of Name, Zone, Rack, MetricsAddr, LogLevel, StopWithin, MaxMessage, Security, Service, AgentAddr, AnnounceAddr, Controllers, MaxConnections, MaxQueue`,
		`testdata/five.yaml:6: AgentAddr: expected an IP address and a port, such as "10.0.0.1:7101", got "worker-1:7201"`,
		`testdata/five.yaml:8: MetricsAddr: 127.0.0.1:7202 is already used by AnnounceAddr`,
		`testdata/five.yaml:10: StopWithin: expected a duration with its unit, such as "3s" or "250ms", got "30"`,
		`testdata/five.yaml:11: MaxConnections: 0, expected 1 to 10000`)
}

func TestOneMistake(t *testing.T) {
	// Guards against mistakes in settings that are accepted, or reported with a wrong line or field.
	cases := []struct{ name, old, new, expected string }{
		{"missing address", "AgentAddr: 10.0.0.1:7201\n", "", `1: AgentAddr: missing, expected an IP address and a port, such as "10.0.0.1:7101"`},
		{"port 0", "10.0.0.1:7201", "10.0.0.1:0", "5: AgentAddr: 10.0.0.1:0 has port 0, expected 1 to 65535"},
		{"wildcard", "10.0.0.1:7201", "0.0.0.0:7201", "5: AgentAddr: 0.0.0.0:7201 cannot be connected to, expected the address of one interface"},
		{"announce", "127.0.0.1:7202", "10.0.0.1:7202", "6: AnnounceAddr: 10.0.0.1:7202 is not a loopback address, expected one such as 127.0.0.1:7203"},
		{"clash with a wildcard", "10.0.0.1:7203", "0.0.0.0:7202", "7: MetricsAddr: 0.0.0.0:7202 is already used by AnnounceAddr"},
		{"clash of mapped addresses", "10.0.0.1:7203", `"[::ffff:10.0.0.1]:7201"`, "7: MetricsAddr: [::ffff:10.0.0.1]:7201 is already used by AgentAddr"},
		{"listed twice", "[10.0.0.9:7101]", "[10.0.0.9:7101, 10.0.0.9:7101]", "8: Controllers[1]: 10.0.0.9:7101 is listed twice"},
		{"set twice", "Rack: rack-1", "Rack: rack-1\nRack: rack-2", "4: Rack: set twice, first in line 3"},
		{"name", "agent-1", `"agent 1"`, `1: Name: "agent 1", expected letters, digits, '-', '_' and '.' only`},
		{"number for text", "rack-1", "7", "3: Rack: expected text; put a number or a word with a meaning in YAML in quotes"},
		{"text for a boolean", "{Insecure: true}", "{Insecure: sometimes}", `9: Security.Insecure: expected true or false, got "sometimes"`},
		{"block for text", "reservas", "{A: 1}", "4: Service: expected text; put a number or a word with a meaning in YAML in quotes"},
		{"text for a block", "{Insecure: true}", "none", "9: Security: expected keys and values"},
		{"text for a list", "[10.0.0.9:7101]", "10.0.0.9:7101", "8: Controllers: expected a list"},
		{"alias", "rack-1", "*rack", "3: Rack: expected text; put a number or a word with a meaning in YAML in quotes"},
		{"size without unit", "Zone: alajuela", "Zone: alajuela\nMaxMessage: 33554432", `3: MaxMessage: expected a whole number with the unit B, KiB, MiB or GiB, such as "4MiB"`},
		{"size out of range", "Zone: alajuela", "Zone: alajuela\nMaxMessage: 65MiB", "3: MaxMessage: 65MiB, expected 1MiB to 64MiB"},
		{"duration out of range", "Zone: alajuela", "Zone: alajuela\nStopWithin: 1h", "3: StopWithin: 1h0m0s, expected 1s to 10m0s"},
		{"overflow", "Zone: alajuela", "Zone: alajuela\nMaxQueue: 99999999999999999999", `3: MaxQueue: expected a whole number, got "99999999999999999999"`},
		{"fraction", "Zone: alajuela", "Zone: alajuela\nMaxQueue: 1.5", `3: MaxQueue: expected a whole number, got "1.5"`},
		{"raw token", "{Insecure: true}", "{Insecure: true, Operators: [{Name: a, Digests: [very-secret]}]}", "9: Security.Operators[0].Digests[0]: expected the SHA-256 digest of a token as 64 hexadecimal digits\n9: Security.Operators: has no effect with Insecure: true"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			text := strings.Replace(agentText, c.old, c.new, 1)
			must.NotEq(t, agentText, text)
			_, err := Parse[AgentSettings]("f", []byte(text))
			mustReject(t, err, "f:"+strings.ReplaceAll(c.expected, "\n", "\nf:"))
		})
	}
}

func TestMalformedFiles(t *testing.T) {
	// Guards against input that exhausts memory or the parser's stack.
	cases := []struct{ name, text, expected string }{
		{"empty", "", "1: the file is empty"},
		{"comment", "# nothing\n", "1: the file is empty"},
		{"too long", strings.Repeat("\n", maxFileBytes+1), "1: the file is longer than 1MiB"},
		{"long line", "A: 1\n" + strings.Repeat("[", maxLineBytes+1), "2: the line has 1025 bytes, expected at most 1024"},
		{"nested", "A: 1\nB: " + strings.Repeat("[", maxFlowDepth+1), "2: brackets are nested deeper than 16 levels"},
		{"many keys", strings.Repeat("A: 1\nB:\n- C: 1\n", maxBlockLines), "301: the block has more than 200 lines"},
		{"many items", strings.Repeat("-\n", maxListItems+1), "5001: the list has more than 5000 items"},
		{"two documents", agentText + "---\n" + agentText, "11: expected one YAML document, found another"},
		{"list", "- 1\n- 2\n", "1: expected keys and values"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse[AgentSettings]("f", []byte(c.text))
			mustReject(t, err, "f:"+c.expected)
		})
	}
	t.Run("syntax", func(t *testing.T) {
		_, err := Parse[AgentSettings]("f", []byte("Name: a\nZone: [b\n"))
		must.ErrorContains(t, err, "f:2: not valid YAML: ")
	})
	t.Run("no file", func(t *testing.T) {
		_, err := Read[AgentSettings]("testdata/none.yaml")
		must.ErrorIs(t, err, os.ErrNotExist)
	})
}
