package orderer

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestLimitOvertaking(t *testing.T) {
	t.Run("a wide job is not overtaken until its deadline cannot be met", func(t *testing.T) {
		key := Key{At: start.Add(27 * time.Second)}
		must.Eq(t, start.Add(4*time.Second), key.LimitOvertaking(start, start.Add(10*time.Second)).At)
	})
	t.Run("an earlier key stays", func(t *testing.T) {
		key := Key{At: start.Add(time.Second)}
		must.Eq(t, key, key.LimitOvertaking(start, start.Add(10*time.Second)))
	})
	t.Run("a key without a deadline stays", func(t *testing.T) {
		key := Key{At: start.Add(27 * time.Second)}
		must.Eq(t, key, key.LimitOvertaking(start, time.Time{}))
	})
}

func TestPolicies(t *testing.T) {
	must.Eq(t, start, ByArrival{}.OrderTime(start, 100, 0))
	must.Eq(t, start.Add(time.Second), ByWidth{Penalty: TaskPenalty}.OrderTime(start, 12, 2))
	must.Eq(t, start.Add(3*time.Second), ByWidth{Penalty: TaskPenalty, MaxPenalty: 3 * time.Second}.OrderTime(start, 100, 0))
}
