package placer

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

func free(string) (float64, bool) { return 0, true }

// newIndex returns an index of workers with a capacity of 1000, named by their order, and their places.
func newIndex(paces []float64, rooms []int) (*Index[string], []*Place[string]) {
	x := &Index[string]{Unit: 50}
	var places []*Place[string]
	for i := range paces {
		p := &Place[string]{Worker: fmt.Sprint(i)}
		x.Set(p, paces[i], rooms[i], 1000)
		places = append(places, p)
	}
	return x, places
}

func mustChoose(t *testing.T, x *Index[string], need int, want string) {
	t.Helper()
	chosen, ok := x.Choose(need, free)
	must.True(t, ok)
	must.Eq(t, want, chosen)
}

func TestChoose(t *testing.T) {
	t.Run("the fast worker", func(t *testing.T) {
		x, _ := newIndex([]float64{1.5, 1, 2}, []int{1000, 500, 1000})
		mustChoose(t, x, 100, "1")
	})
	t.Run("the next one when the fast one is full", func(t *testing.T) {
		x, _ := newIndex([]float64{1.5, 1, 2}, []int{1000, 50, 1000})
		mustChoose(t, x, 100, "0")
	})
	t.Run("the empty one of equal workers", func(t *testing.T) {
		x, _ := newIndex([]float64{1, 1, 1}, []int{300, 900, 500})
		mustChoose(t, x, 100, "1")
	})
	t.Run("none when all are full", func(t *testing.T) {
		x, _ := newIndex([]float64{1, 1}, []int{90, 40})
		_, ok := x.Choose(100, free)
		must.False(t, ok)
	})
	t.Run("a worker that has become slow", func(t *testing.T) {
		x, places := newIndex([]float64{1, 1.2}, []int{1000, 1000})
		x.Set(places[0], 3, 1000, 1000)
		mustChoose(t, x, 100, "1")
	})
	t.Run("a removed worker is not chosen", func(t *testing.T) {
		x, places := newIndex([]float64{1, 2}, []int{1000, 1000})
		x.Remove(places[0])
		mustChoose(t, x, 100, "1")
	})
	t.Run("a penalty outweighs the pace", func(t *testing.T) {
		x, _ := newIndex([]float64{1, 1.2}, []int{1000, 1000})
		chosen, _ := x.Choose(100, func(worker string) (float64, bool) { return map[string]float64{"0": 1}[worker], true })
		must.Eq(t, "1", chosen)
	})
}

// Guards against a group that is left out although it has the best worker.
func TestChooseLooksAtEveryGroup(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 12).Draw(t, "workers")
		penalties, paces, rooms := make(map[string]float64), []float64(nil), []int(nil)
		for worker := range count {
			// One worker for each group and level, since a choice looks at the emptiest ones of a group only.
			paces, rooms = append(paces, firstPace+classWidth*(float64(worker)+0.5)), append(rooms, rapid.IntRange(0, 1000).Draw(t, "room"))
			penalties[fmt.Sprint(worker)] = rapid.Float64Range(0, 2).Draw(t, "penalty")
		}
		x, places := newIndex(paces, rooms)
		best := -1.0
		for _, p := range places {
			if score := p.score + penalties[p.Worker]; best < 0 || score < best {
				best = score
			}
		}
		chosen, ok := x.Choose(0, func(worker string) (float64, bool) { return penalties[worker], true })
		must.True(t, ok)
		var at int
		fmt.Sscan(chosen, &at)
		must.InDelta(t, best, places[at].score+penalties[chosen], 1e-9)
	})
}

// Guards against a choice that finds no worker although one has clearly enough free.
func TestChooseFindsRoom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 30).Draw(t, "workers")
		var paces []float64
		var rooms []int
		for range count {
			paces = append(paces, rapid.Float64Range(0.1, 6).Draw(t, "pace"))
			rooms = append(rooms, rapid.IntRange(0, 1000).Draw(t, "room"))
		}
		x, _ := newIndex(paces, rooms)
		need := rapid.IntRange(1, 1000).Draw(t, "need")
		most := 0
		for _, room := range rooms {
			most = max(most, room)
		}
		_, ok := x.Choose(need, free)
		must.True(t, ok || most < need)
	})
}

// BenchmarkChoose measures the time of a choice by number of workers.
func BenchmarkChoose(b *testing.B) {
	for _, count := range []int{11, 64, 240, 940} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			var paces []float64
			var rooms []int
			for i := range count {
				paces, rooms = append(paces, 0.8+0.1*float64(i%7)), append(rooms, 100*(i%11))
			}
			x, places := newIndex(paces, rooms)
			for i := 0; b.Loop(); i++ {
				x.Set(places[i%count], paces[i%count], rooms[(i+1)%count], 1000)
				x.Choose(300, free)
			}
		})
	}
}
