package specifier

import (
	"math"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func mustReport(t *testing.T, found *Problems, fields ...string) {
	t.Helper()
	must.NotNil(t, found)
	must.Eq(t, len(fields), len(found.Lines()))
	for i, field := range fields {
		must.StrHasPrefix(t, field+": ", found.Lines()[i])
	}
}

// Guards against profiles that the scheduler cannot act on, and against reports that stop at the first problem.
func TestProfileCheck(t *testing.T) {
	valid := Profile{Name: "hold", Service: "reservas"}
	must.Nil(t, valid.Check())
	mustReport(t, Profile{MaxTimeLeft: -1, TypicalTime: 2 * time.Hour, QueueBound: -1, RetryBudget: math.NaN(), Priority: 10,
		LongShare: 1.1, BreakerAfter: -1}.Check(), "Name", "Service", "MaxTimeLeft", "TypicalTime", "QueueBound",
		"RetryBudget", "Priority", "LongShare", "BreakerAfter")
}

// Guards against shares that break fair sharing.
func TestTeamCheck(t *testing.T) {
	must.Nil(t, Team{Name: "t"}.Check())
	for name, share := range map[string]float64{"negative": -1, "infinite": math.Inf(1), "not a number": math.NaN()} {
		t.Run(name, func(t *testing.T) { mustReport(t, Team{Name: "t", Share: share}.Check(), "Share") })
	}
}

// Guards against a change that is accepted although one of its parts is invalid, and against a change whose
// result depends on the order of its parts.
func TestChangeCheck(t *testing.T) {
	current := Configuration{Revision: 3, Profiles: map[string]Profile{"a": {Name: "a", Service: "s"}}}
	valid := ChangeConfiguration{RequestID: "r", Operator: "o", Profiles: []Profile{{Name: "b", Service: "s"}}, RemoveProfiles: []string{"a"}}
	must.Nil(t, valid.Check(current))
	next := valid.Apply(current)
	must.Eq(t, Revision(4), next.Revision)
	must.MapContainsKey(t, next.Profiles, "b")
	must.MapNotContainsKey(t, next.Profiles, "a")
	must.MapContainsKey(t, current.Profiles, "a")
	for name, test := range map[string]struct {
		change func(*ChangeConfiguration)
		fields []string
	}{
		"names":   {func(c *ChangeConfiguration) { c.RequestID, c.Operator = "", strings.Repeat("x", MaxName+1) }, []string{"RequestId", "Operator"}},
		"nothing": {func(c *ChangeConfiguration) { c.Profiles, c.RemoveProfiles = nil, nil }, []string{"Profiles"}},
		"item":    {func(c *ChangeConfiguration) { c.Profiles[0].Service = "" }, []string{"Profiles[0].Service"}},
		"twice":   {func(c *ChangeConfiguration) { c.Profiles = append(c.Profiles, c.Profiles[0]) }, []string{"Profiles[1].Name"}},
		"unknown": {func(c *ChangeConfiguration) { c.RemoveTeams = []string{"x"} }, []string{"RemoveTeams[0]"}},
		"both":    {func(c *ChangeConfiguration) { c.Profiles[0].Name = "a" }, []string{"RemoveProfiles[0]"}},
	} {
		t.Run(name, func(t *testing.T) {
			c := valid
			c.Profiles = append([]Profile(nil), valid.Profiles...)
			test.change(&c)
			mustReport(t, c.Check(current), test.fields...)
			must.NotEq(t, valid.Digest(), c.Digest())
		})
	}
}
