package runner

import (
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"oleandertally/agent/executor"
	"oleandertally/core/exporter"
	"oleandertally/core/specifier"
)

var entry = specifier.Identity{Name: "entry-1", Incarnation: 1}

// meteredExecutor is an executor with one slot behind a meter.
type meteredExecutor struct {
	*meter
	now time.Time
}

func newMeteredExecutor() *meteredExecutor {
	m := &meteredExecutor{meter: newMeter(executor.New(1, 1<<20), exporter.NewAgent()), now: time.Date(2026, 5, 4, 9, 0, 0, 0, time.UTC)}
	m.step(executor.Leased{Until: m.now.Add(time.Hour)})
	m.step(executor.UpstreamUp{Addr: netip.MustParseAddrPort("127.0.0.1:1"), Slots: 1, Until: m.now.Add(time.Hour)})
	m.step(executor.Connected{Entry: entry, Stream: 1})
	return m
}

func (m *meteredExecutor) step(event executor.Event) { m.Step(m.now, event) }

func (m *meteredExecutor) assign(task string) specifier.TaskKey {
	key := specifier.TaskKey{Job: specifier.NewJobID("web", "k"), Task: task}
	m.step(executor.Assigned{Entry: entry, Stream: 1, Key: key, Epoch: 1, Order: m.now, Deadline: m.now.Add(time.Minute), Profile: "hold"})
	return key
}

// mustCount requires that the metric with these label values, if any, has the wanted value.
func (m *meteredExecutor) mustCount(t *testing.T, want float64, name string, labels ...string) {
	t.Helper()
	families, err := m.metrics.Registry().Gather()
	must.NoError(t, err)
	for _, family := range families {
		for _, metric := range family.GetMetric() {
			matches := family.GetName() == "oleandertally_agent_"+name && len(metric.GetLabel()) == len(labels)
			for i := range metric.GetLabel() {
				matches = matches && metric.GetLabel()[i].GetValue() == labels[i]
			}
			if matches {
				must.Eq(t, want, metric.GetCounter().GetValue()+metric.GetGauge().GetValue()+float64(metric.GetHistogram().GetSampleCount()), must.Sprint(name))
				return
			}
		}
	}
	t.Fatalf("no metric %s %v", name, labels)
}

// TestQueueIsCounted guards against a gauge that drifts because a task left the queue in a way that is not counted.
func TestQueueIsCounted(t *testing.T) {
	full := func() *meteredExecutor {
		m := newMeteredExecutor()
		m.assign("runs")
		m.assign("waits")
		m.assign("refused")
		return m
	}
	t.Run("full", func(t *testing.T) {
		m := full()
		m.mustCount(t, 1, "starts_total")
		m.mustCount(t, 1, "running_tasks")
		m.mustCount(t, 1, "queue_tasks", "Short")
		m.mustCount(t, 1, "refusals_total", "Full")
	})
	t.Run("started", func(t *testing.T) {
		m := full()
		m.step(executor.RunEnded{Key: specifier.TaskKey{Job: specifier.NewJobID("web", "k"), Task: "runs"}, Broken: true})
		m.mustCount(t, 0, "queue_tasks", "Short")
		m.mustCount(t, 2, "starts_total")
		m.mustCount(t, 1, "failures_total")
		m.mustCount(t, 1, "run_seconds", "Short")
		m.mustCount(t, 2, "queue_wait_seconds", "Short")
	})
	t.Run("withdrawn", func(t *testing.T) {
		m := full()
		m.step(executor.Withdrawn{Entry: entry, Stream: 1, Job: specifier.NewJobID("web", "k"), Epoch: 1})
		m.mustCount(t, 0, "queue_tasks", "Short")
		m.mustCount(t, 1, "refusals_total", "Withdrawn")
	})
	t.Run("fenced", func(t *testing.T) {
		m := full()
		m.step(executor.Fenced{Entry: entry, Stream: 1, Job: specifier.NewJobID("web", "k"), Epoch: 2, Deadline: m.now.Add(time.Minute)})
		m.mustCount(t, 0, "queue_tasks", "Short")
	})
	t.Run("leaving", func(t *testing.T) {
		m := full()
		m.step(executor.Leaving{})
		m.mustCount(t, 0, "queue_tasks", "Short")
		m.mustCount(t, 0, "slots")
	})
}
