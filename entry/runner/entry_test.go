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
	"oleandertally/core/supervisor"
)

// TestMain guards against goroutines that outlive an entry.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// newEntry returns an entry on a random loopback address. No controller listens at its Controllers address.
func newEntry(t *testing.T) *Entry {
	t.Helper()
	host := netip.AddrFrom4([4]byte{127, byte(64 + rand.IntN(128)), byte(rand.IntN(250)), 1})
	settings := configurator.Defaults[configurator.EntrySettings]()
	settings.Name, settings.Zone, settings.Rack = "entry-1", "a", "a"
	settings.HTTPAddr, settings.PeerAddr = netip.AddrPortFrom(host, 7001), netip.AddrPortFrom(host, 7002)
	settings.Controllers = []netip.AddrPort{netip.AddrPortFrom(host, 7101)}
	security, err := authenticator.New(configurator.SecuritySettings{Insecure: true}, authenticator.Peer{}, time.Now, func(error) {})
	must.NoError(t, err)
	return &Entry{Settings: settings, Security: security, Events: &recorder.Buffer{Cap: 10, Clock: time.Now},
		Metrics: exporter.NewEntry(), Health: supervisor.NewHealth(Conditions()...)}
}

// TestStopWithoutControllers guards against a shutdown that hangs or leaks goroutines when no controller responds.
func TestStopWithoutControllers(t *testing.T) {
	entry := newEntry(t)
	must.NoError(t, entry.Open())
	ctx, cancel := context.WithCancel(t.Context())
	var group errgroup.Group
	group.Go(func() error { return entry.Run(ctx) })
	must.NoError(t, entry.probe(ctx))
	must.Eq(t, []string{"Lease: starting", "Profiles: starting"}, entry.Health.Unmet())
	steps := entry.Steps()
	must.NoError(t, steps[0].Run(ctx))
	must.NoError(t, steps[1].Run(ctx))
	leaving, interrupt := context.WithCancel(ctx)
	group.Go(func() error { defer interrupt(); <-entry.sessionEnded; return nil })
	must.ErrorIs(t, steps[2].Run(leaving), context.Canceled)
	cancel()
	must.ErrorIs(t, group.Wait(), context.Canceled)
}

// TestOpenReleasesListeners guards against a failed Open that keeps one listener open because the other address is in
// use.
func TestOpenReleasesListeners(t *testing.T) {
	first, second := newEntry(t), newEntry(t)
	second.Settings.PeerAddr = first.Settings.PeerAddr
	must.NoError(t, first.Open())
	must.Error(t, second.Open())
	second.Settings.PeerAddr = newEntry(t).Settings.PeerAddr
	must.NoError(t, second.Open())
	for _, entry := range []*Entry{first, second} {
		must.NoError(t, entry.callers.Close())
		must.NoError(t, entry.peers.Close())
	}
}
