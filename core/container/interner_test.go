package container

import (
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// Guards against a number whose value changes while it is in use, and against values that are never deleted.
func TestInterner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var interner Interner[string]
		var acquired []uint32
		var values []string
		for range rapid.IntRange(0, 50).Draw(t, "steps") {
			if len(acquired) > 0 && rapid.Bool().Draw(t, "drop") {
				at := rapid.IntRange(0, len(acquired)-1).Draw(t, "at")
				interner.Release(acquired[at])
				acquired, values = append(acquired[:at], acquired[at+1:]...), append(values[:at], values[at+1:]...)
			} else {
				value := rapid.SampledFrom([]string{"", "a", "b", "c"}).Draw(t, "value")
				acquired, values = append(acquired, interner.Acquire(value)), append(values, value)
			}
			distinct := map[string]bool{}
			for i, number := range acquired {
				must.Eq(t, values[i], interner.Get(number))
				distinct[values[i]] = true
			}
			delete(distinct, "")
			must.Eq(t, len(distinct), interner.Len())
		}
	})
}
