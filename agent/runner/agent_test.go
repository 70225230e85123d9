package runner

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/goleak"
	"golang.org/x/sync/errgroup"

	"oleandertally/core/authenticator"
	"oleandertally/core/configurator"
	"oleandertally/core/exporter"
	"oleandertally/core/recorder"
	"oleandertally/core/registrant"
	"oleandertally/core/specifier"
	"oleandertally/core/supervisor"
)

// TestMain guards against goroutines that still run after an agent has stopped.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// startAgent runs an agent on a random loopback address until the test ends. Its controllers do not answer.
func startAgent(t *testing.T) *Agent {
	t.Helper()
	host := netip.AddrFrom4([4]byte{127, byte(64 + rand.IntN(128)), byte(rand.IntN(250)), 1})
	settings := configurator.Defaults[configurator.AgentSettings]()
	settings.Name, settings.Zone, settings.Rack, settings.Service = "agent-1", "a", "a", "s"
	settings.AgentAddr, settings.AnnounceAddr = netip.AddrPortFrom(host, 7201), netip.AddrPortFrom(host, 7202)
	settings.Controllers = []netip.AddrPort{netip.AddrPortFrom(host, 7101)}
	security, err := authenticator.New(configurator.SecuritySettings{Insecure: true}, authenticator.Peer{}, time.Now, func(error) {})
	must.NoError(t, err)
	agent := &Agent{Settings: settings, Security: security, Events: &recorder.Buffer{Cap: 10, Clock: time.Now},
		Metrics: exporter.NewAgent(), Health: supervisor.NewHealth(Conditions()...)}
	must.NoError(t, agent.Open())
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return agent.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		must.ErrorIs(t, group.Wait(), context.Canceled)
	})
	must.NoError(t, agent.probe(ctx))
	return agent
}

// TestStopWithoutControllers guards against a shutdown that hangs or leaves goroutines when no controller answers.
func TestStopWithoutControllers(t *testing.T) {
	agent := startAgent(t)
	steps := agent.Steps()
	must.NoError(t, steps[0].Run(t.Context()))
	must.NoError(t, steps[1].Run(t.Context()))
	leaving, interrupt := context.WithCancel(t.Context())
	var group errgroup.Group
	group.Go(func() error { defer interrupt(); <-agent.sessionEnded; return nil })
	must.ErrorIs(t, steps[2].Run(leaving), context.Canceled)
	must.NoError(t, group.Wait())
}

// TestNewIncarnationHasItsOwnTimeline guards against events of a new incarnation that are recorded under the previous
// one: a task started after the loss of the agent would appear to have started before it.
func TestNewIncarnationHasItsOwnTimeline(t *testing.T) {
	agent := startAgent(t)
	first := agent.Self()
	second := specifier.Identity{Name: first.Name, Incarnation: first.Incarnation + 1}
	agent.Events.Add(recorder.Event{Kind: recorder.TaskStarted})
	must.NoError(t, agent.notify(t.Context(), registrant.Notification{Self: first}))
	agent.Events.Add(recorder.Event{Kind: recorder.TaskEnded})
	must.NoError(t, agent.notify(t.Context(), registrant.Notification{Self: second}))
	agent.Events.Add(recorder.Event{Kind: recorder.TaskStarted})
	events, _ := agent.Events.All()
	must.Len(t, 3, events)
	for i, want := range []struct {
		process  string
		sequence uint64
	}{{first.String(), 1}, {first.String(), 2}, {second.String(), 1}} {
		must.Eq(t, want.process, events[i].Process)
		must.Eq(t, want.sequence, events[i].Sequence)
	}
}
