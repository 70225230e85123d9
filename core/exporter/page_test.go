package exporter

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil/promlint"
	"github.com/shoenig/test/must"

	"oleandertally/core/relayer"
	"oleandertally/core/specifier"
)

func registries() map[string]*prometheus.Registry {
	return map[string]*prometheus.Registry{
		"Entry": NewEntry().Registry(), "Agent": NewAgent().Registry(), "Controller": NewController().Registry(),
		"Queues": queuesWithRelay().Registry(),
	}
}

func queuesWithRelay() *Queues {
	queues := NewQueues(noneDropped)
	NewRelay(queues)
	return queues
}

func noneDropped() int64 { return 0 }

var fqName = regexp.MustCompile(`fqName: "([^"]+)"`)

// registered returns the names of all registered metrics.
func registered() []string {
	var names []string
	for _, registry := range registries() {
		descriptions := make(chan *prometheus.Desc, 1000)
		registry.Describe(descriptions)
		close(descriptions)
		for description := range descriptions {
			names = append(names, fqName.FindStringSubmatch(description.String())[1])
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// rows returns the cells of each table row of the page that names a metric.
func rows(t *testing.T) [][]string {
	t.Helper()
	page, err := os.ReadFile("../../docs/metrics.md")
	must.NoError(t, err)
	var found [][]string
	for line := range strings.Lines(string(page)) {
		if strings.HasPrefix(line, "| `") {
			found = append(found, strings.Split(strings.Trim(strings.TrimSpace(line), "|"), " | "))
		}
	}
	return found
}

// Guards against a metric that docs/metrics.md does not explain, and a row of the page for a metric that does not exist.
func TestPageListsEveryMetric(t *testing.T) {
	var listed []string
	for _, row := range rows(t) {
		must.Len(t, 4, row, must.Sprint(row))
		for _, cell := range row {
			must.NotEq(t, "", strings.TrimSpace(cell), must.Sprint(row))
		}
		listed = append(listed, strings.Trim(strings.TrimSpace(row[0]), "`"))
	}
	slices.Sort(listed)
	must.Eq(t, registered(), listed)
}

// Guards against a kind or unit in docs/metrics.md that differs from the metric.
func TestPageStatesKindAndUnit(t *testing.T) {
	kinds := make(map[string]string)
	entry := NewEntry()
	entry.Answered(specifier.Complete, "")
	queues := queuesWithRelay()
	queues.Event("JobArrived")
	queues.Request("GET", 200, time.Second)
	queues.Job("Completed", time.Second)
	queues.SetWaiting("q", "Room", 1)
	for _, registry := range []*prometheus.Registry{entry.Registry(), NewAgent().Registry(), NewController().Registry(), queues.Registry()} {
		families, err := registry.Gather()
		must.NoError(t, err)
		for _, family := range families {
			kinds[family.GetName()] = strings.ToLower(family.GetType().String())
		}
	}
	for _, row := range rows(t) {
		name := strings.Trim(strings.TrimSpace(row[0]), "`")
		if kind, ok := kinds[name]; ok {
			must.StrHasPrefix(t, kind+", ", strings.TrimSpace(row[1]), must.Sprint(name))
		}
		for _, unit := range []string{"seconds", "bytes", "ratio"} {
			if strings.Contains(name, "_"+unit) {
				must.StrContains(t, row[1], unit, must.Sprint(name))
			}
		}
	}
}

// Guards against metric names that violate the conventions of Prometheus.
func TestNamesFollowConventions(t *testing.T) {
	for role, registry := range registries() {
		t.Run(role, func(t *testing.T) {
			families, err := registry.Gather()
			must.NoError(t, err)
			problems, err := promlint.NewWithMetricFamilies(families).Lint()
			must.NoError(t, err)
			must.SliceEmpty(t, problems)
		})
	}
}

// constants returns the values of the string constants in a file.
func constants(t *testing.T, file string) []string {
	t.Helper()
	parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, 0)
	must.NoError(t, err)
	var values []string
	ast.Inspect(parsed, func(node ast.Node) bool {
		if literal, ok := node.(*ast.BasicLit); ok && literal.Kind == token.STRING {
			if value, err := strconv.Unquote(literal.Value); err == nil && !strings.Contains(value, "/") {
				values = append(values, value)
			}
		}
		return true
	})
	return values
}

// assertListed checks that known contains exactly the constants in file.
func assertListed[T ~string](t *testing.T, file string, known []T) {
	t.Helper()
	for _, value := range constants(t, file) {
		must.Eq(t, value, knownOrOther(known, T(value)))
	}
	must.Eq(t, len(known), len(constants(t, file)))
}

// Guards against a new value of a domain type that is missing from its list here, and is therefore counted as Other.
func TestLabelListsAreComplete(t *testing.T) {
	t.Run("outcomes", func(t *testing.T) { assertListed(t, "../specifier/outcome.go", outcomes) })
	t.Run("reasons", func(t *testing.T) { assertListed(t, "../specifier/reason.go", reasons) })
	t.Run("verdicts", func(t *testing.T) { assertListed(t, "../specifier/verdict.go", verdicts) })
	t.Run("roles", func(t *testing.T) { assertListed(t, "../specifier/role.go", roles) })
	t.Run("causes", func(t *testing.T) { assertListed(t, "../../agent/executor/cause.go", causes) })
	t.Run("relay reasons", func(t *testing.T) { assertListed(t, "../relayer/reason.go", relayReasons) })
	t.Run("states", func(t *testing.T) { assertListed(t, "../specifier/memberstate.go", states) })
	t.Run("waiting reasons", func(t *testing.T) { assertListed(t, "../../controller/dispatcher/waitingreason.go", waitingReasons) })
}

func assertValue(t *testing.T, registry *prometheus.Registry, name string, labels map[string]string, want float64) {
	t.Helper()
	families, err := registry.Gather()
	must.NoError(t, err)
	for _, family := range families {
		for _, metric := range family.GetMetric() {
			matches := family.GetName() == name
			for _, label := range metric.GetLabel() {
				matches = matches && labels[label.GetName()] == label.GetValue()
			}
			if matches {
				got := metric.GetCounter().GetValue() + metric.GetGauge().GetValue() + float64(metric.GetHistogram().GetSampleCount())
				must.Eq(t, want, got)
				return
			}
		}
	}
	t.Fatalf("no metric %s %v", name, labels)
}

// Guards against values outside the lists that create time series, and against counts in the wrong metric.
func TestValues(t *testing.T) {
	t.Run("unknown label values share one series", func(t *testing.T) {
		agent := NewAgent()
		agent.Refused("x1")
		agent.Refused("x2")
		assertValue(t, agent.Registry(), "oleandertally_agent_refusals_total", map[string]string{"cause": "Other"}, 2)
	})
	t.Run("answers", func(t *testing.T) {
		entry := NewEntry()
		entry.Answered(specifier.NotRun, specifier.Overloaded)
		entry.Answered(specifier.Complete, "")
		assertValue(t, entry.Registry(), "oleandertally_entry_requests_total",
			map[string]string{"outcome": "NotRun", "reason": "Overloaded"}, 1)
		assertValue(t, entry.Registry(), "oleandertally_entry_requests_total",
			map[string]string{"outcome": "Complete", "reason": "None"}, 1)
	})
	t.Run("late answers are not in time", func(t *testing.T) {
		entry := NewEntry()
		entry.Completed(Short, time.Second, 500*time.Millisecond, -time.Millisecond)
		entry.Completed(Short, time.Second, 500*time.Millisecond, time.Millisecond)
		assertValue(t, entry.Registry(), "oleandertally_entry_in_time_total", nil, 1)
		assertValue(t, entry.Registry(), "oleandertally_entry_response_over_ideal_ratio", map[string]string{"class": "Short"}, 2)
	})
	t.Run("a relay", func(t *testing.T) {
		queues := NewQueues(noneDropped)
		relay := NewRelay(queues)
		relay.Opened()
		relay.Opened()
		relay.Closed()
		relay.Refused(relayer.Full)
		relay.Copied(12)
		assertValue(t, queues.Registry(), "oleandertally_relay_connections", nil, 1)
		assertValue(t, queues.Registry(), "oleandertally_relay_refusals_total", map[string]string{"reason": "Full"}, 1)
		assertValue(t, queues.Registry(), "oleandertally_relay_copied_bytes_total", nil, 12)
	})
	t.Run("a leader that steps down", func(t *testing.T) {
		controller := NewController()
		controller.SetTerm(7, true)
		controller.SetTerm(8, false)
		assertValue(t, controller.Registry(), "oleandertally_controller_leading", nil, 0)
		assertValue(t, controller.Registry(), "oleandertally_controller_term", nil, 8)
	})
}
