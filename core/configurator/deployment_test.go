package configurator

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

const siteText = `Security: {Insecure: true}
Controllers:
  - {Name: c-1, Zone: a, Rack: a, Addr: 10.0.0.1:7101, MetricsAddr: 10.0.0.1:7103, DataFolder: /d}
Entries:
  - {Name: e-1, Zone: a, Rack: a, HttpAddr: 10.0.0.2:7001, PeerAddr: 10.0.0.2:7002, MetricsAddr: 10.0.0.2:7003}
Agents:
  - {Name: a-1, Zone: a, Rack: a, Service: s, AgentAddr: 10.0.0.3:7201, AnnounceAddr: 127.0.0.1:7202, MetricsAddr: 10.0.0.3:7203}
  - {Name: a-2, Zone: a, Rack: a, Service: s, AgentAddr: 10.0.0.4:7201, AnnounceAddr: 127.0.0.1:7202, MetricsAddr: 10.0.0.4:7203}
`

func TestDeployment(t *testing.T) {
	// Guards against lost inherited settings, and against mistakes that show only when the processes of a
	// deployment are compared.
	cases := []struct{ name, old, new, expected string }{
		{"duplicate name", "a-2", "e-1", `8: Agents[1].Name: "e-1" is already used by Entries[0]`},
		{"clash between processes", "10.0.0.4:7203", "10.0.0.3:7201", "8: Agents[1].MetricsAddr: 10.0.0.3:7201 is already used by Agents[0].AgentAddr"},
		{"clash on one host", "10.0.0.4:7201", "10.0.0.3:7204", "8: Agents[1].AnnounceAddr: 127.0.0.1:7202 is already used by Agents[0].AnnounceAddr"},
		{"shared mistake once", "{Insecure: true}", "{Insecure: true, Key: k}", "1: Security.Key: has no effect with Insecure: true"},
		{"no security", "Security: {Insecure: true}\n", "", "1: Security.Certificate: missing, expected the PEM file with the certificate of this process, or Insecure: true\n" +
			"1: Security.Key: missing, expected the PEM file with its private key, or Insecure: true\n" +
			"1: Security.Authority: missing, expected the PEM file with the CA certificates of the site, or Insecure: true\n" +
			"1: Security.Teams: missing, expected at least one name with a token digest\n" +
			"1: Security.Operators: missing, expected at least one name with a token digest"},
		{"lease order", "DataFolder: /d", "DataFolder: /d, ElectionTimeout: 700ms", "3: Controllers[0].ElectionTimeout: 700ms, expected more than LeaderLease (700ms), or two leaders can answer at once"},
		{"lease length", "DataFolder: /d", "DataFolder: /d, Heartbeat: 400ms", "3: Controllers[0].LeaderLease: 700ms, expected at least twice Heartbeat (400ms), or one lost message ends it"},
		{"own address among peers", "DataFolder: /d", "DataFolder: /d, Peers: [{Name: c-1, Addr: 10.0.0.1:7102}]", "3: Controllers[0].Peers[0].Addr: 10.0.0.1:7102 differs from Addr of this controller, 10.0.0.1:7101"},
		{"missing in a list", "Service: s, AgentAddr", "AgentAddr", "7: Agents[0].Service: missing, expected a name"},
	}
	t.Run("whole", func(t *testing.T) {
		site, err := Parse[DeploymentSettings]("f", []byte(siteText))
		must.NoError(t, err)
		agent, ok := site.Agent("a-2")
		must.True(t, ok)
		must.Eq(t, "10.0.0.1:7101", agent.Controllers[0].String())
		must.True(t, agent.Security.Insecure)
		must.Eq(t, []PeerSettings{{"c-1", agent.Controllers[0]}}, site.Controllers[0].Peers)
		must.NoError(t, Check(site))
	})
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			text := strings.Replace(siteText, c.old, c.new, 1)
			must.NotEq(t, siteText, text)
			_, err := Parse[DeploymentSettings]("f", []byte(text))
			mustReject(t, err, "f:"+strings.ReplaceAll(c.expected, "\n", "\nf:"))
		})
	}
}

func TestProfiles(t *testing.T) {
	// Guards against mistakes in a profile file that are accepted, or reported without their place.
	cases := []struct{ name, text, expected string }{
		{"range", "Profiles:\n  - {Name: a, Service: s, Priority: 10}", "2: Profiles[0].Priority: 10, expected 0 to 9"},
		{"explicit zero", "Profiles:\n  - {Name: a, Service: s, RetryBudget: 0}", "2: Profiles[0].RetryBudget: 0 means the default; leave the key out instead"},
		{"unit", "Profiles:\n  - {Name: a, Service: s, TypicalTime: 200}", `2: Profiles[0].TypicalTime: expected a duration with its unit, such as "3s" or "250ms", got "200"`},
		{"duplicate", "Teams:\n  - Name: a\n  - Name: a", `3: Teams[1].Name: "a" is already used by Teams[0]`},
		{"nothing", "Teams: []", "1: Profiles: missing, expected at least one profile or team"},
		{"not a number", "Teams:\n  - {Name: a, Share: .nan}", `2: Teams[0].Share: expected a number, got ".nan"`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse[ProfileSettings]("f", []byte(c.text))
			mustReject(t, err, "f:"+c.expected)
		})
	}
}
