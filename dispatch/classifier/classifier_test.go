package classifier

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func mustLearn(t *testing.T, declared, runTime time.Duration, want Class) {
	t.Helper()
	c := &Classifier{}
	must.Eq(t, ClassOf(declared), c.Class("p", declared))
	for range minSamples {
		c.Record("p", runTime)
	}
	must.Eq(t, want, c.Class("p", declared))
	must.Between(t, runTime*8/10, c.Mean("p", declared), runTime*12/10)
}

// TestClassifier guards against declared run times that are wrong by a factor of ten in either direction: the class and
// the mean must come from the recorded run times.
func TestClassifier(t *testing.T) {
	t.Run("declared too short", func(t *testing.T) { mustLearn(t, 1200*time.Millisecond, 12*time.Second, Long) })
	t.Run("declared too long", func(t *testing.T) { mustLearn(t, 5*time.Second, 500*time.Millisecond, Short) })
	t.Run("rare outliers do not make a profile long", func(t *testing.T) {
		c := &Classifier{}
		for i := range 100 {
			c.Record("p", time.Duration(500+i/99*30000)*time.Millisecond)
		}
		must.Eq(t, Short, c.Class("p", 0))
	})
	t.Run("the estimate follows a profile that changes", func(t *testing.T) {
		c := &Classifier{}
		for range histogramSamples {
			c.Record("p", 300*time.Millisecond)
		}
		for range 2 * histogramSamples {
			c.Record("p", 20*time.Second)
		}
		must.Eq(t, Long, c.Class("p", 0))
	})
	t.Run("reclassification never returns a shorter class", func(t *testing.T) {
		must.Eq(t, Medium, Short.Reclassify(2*time.Second))
		must.Eq(t, Long, Long.Reclassify(time.Second))
	})
}
