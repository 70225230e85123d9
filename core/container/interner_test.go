package container

import (
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// Guards against a number that changes its value while it is used, and values that stay for ever.
func TestInterner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var interner Interner[string]
		var held []uint32
		var values []string
		for range rapid.IntRange(0, 50).Draw(t, "steps") {
			if len(held) > 0 && rapid.Bool().Draw(t, "drop") {
				at := rapid.IntRange(0, len(held)-1).Draw(t, "at")
				interner.Release(held[at])
				held, values = append(held[:at], held[at+1:]...), append(values[:at], values[at+1:]...)
			} else {
				value := rapid.SampledFrom([]string{"", "a", "b", "c"}).Draw(t, "value")
				held, values = append(held, interner.Acquire(value)), append(values, value)
			}
			distinct := map[string]bool{}
			for i, number := range held {
				must.Eq(t, values[i], interner.Get(number))
				distinct[values[i]] = true
			}
			delete(distinct, "")
			must.Eq(t, len(distinct), interner.Len())
		}
	})
}
