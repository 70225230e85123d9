package estimator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const (
	workers = 12
	declare = 100 * time.Millisecond
	// spread is the deviation of the logarithm of run times within a queue.
	spread = 0.4
)

// site is a pool with true paces and true errors of the queues, and a model that learns from its runs.
type site struct {
	model  Learned[int, string]
	now    time.Time
	random *rand.Rand
	paces  [workers]float64
	errors map[string]float64
}

func newSite(paces ...float64) *site {
	s := &site{now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(1, 1)), errors: map[string]float64{"q": 1}}
	for worker := range s.paces {
		s.paces[worker] = paces[worker%len(paces)]
	}
	return s
}

// run adds the end of a run at a worker, whose time also has the given factor.
func (s *site) run(worker int, queue string, factor float64, change func(*Sample[int, string])) {
	took := factor * s.paces[worker] * s.errors[queue] * math.Exp(spread*s.random.NormFloat64())
	sample := Sample[int, string]{Worker: worker, Queue: queue, Declared: declare, Took: time.Duration(took*float64(declare)) + messageTime}
	if change != nil {
		change(&sample)
	}
	s.now = s.now.Add(time.Millisecond)
	s.model.Ended(s.now, sample)
}

// spreadRuns adds runs of every queue at every worker.
func (s *site) spreadRuns(count int, queues ...string) {
	for i := range count {
		for worker := range workers {
			s.run(worker, queues[i%len(queues)], 1, nil)
		}
	}
}

// meanPace returns the mean pace of the workers of a true pace.
func (s *site) meanPace(pace float64) float64 {
	total, count := 0.0, 0.0
	for worker, each := range s.paces {
		if each == pace {
			total, count = total+s.model.Pace(s.now, worker), count+1
		}
	}
	return total / count
}

// mustBeNear fails if two factors differ by more than the tolerance of what a choice can tell apart.
func mustBeNear(t *testing.T, want, got float64) {
	t.Helper()
	must.InDelta(t, 0, math.Log(got/want), 0.2, must.Sprintf("got %.2f, want about %.2f", got, want))
}

func TestLearned(t *testing.T) {
	t.Run("the speed of workers and the errors of queues are separated", func(t *testing.T) {
		// Guards against a worker that counts as slow because it ran the tasks of a queue with low estimates.
		s := newSite(1/0.6, 1, 1/1.6)
		s.errors = map[string]float64{"low": 1.4, "high": 0.6}
		s.spreadRuns(120, "low", "high")
		for range 200 {
			s.run(1, "low", 1, nil)
			s.run(4, "high", 1, nil)
		}
		mustBeNear(t, s.meanPace(1/0.6)/s.meanPace(1), 1/0.6)
		mustBeNear(t, s.meanPace(1/1.6)/s.meanPace(1), 1/1.6)
		mustBeNear(t, s.model.QueueFactor("low")/s.model.QueueFactor("high"), 1.4/0.6)
		mustBeNear(t, s.model.Pace(s.now, 1), s.model.Pace(s.now, 4))
	})
	t.Run("the cost of remote data is not the worker's", func(t *testing.T) {
		s := newSite(1)
		s.spreadRuns(60, "q")
		for range 60 {
			s.run(3, "q", 2, func(sample *Sample[int, string]) { sample.Factor = 2 })
		}
		mustBeNear(t, 1, s.model.Pace(s.now, 3))
	})
	t.Run("messages do not make the worker of short tasks slow", func(t *testing.T) {
		s := newSite(1)
		for range 60 {
			s.spreadRuns(1, "q")
			s.run(3, "q", 1, func(sample *Sample[int, string]) {
				sample.Declared = declare / 20
				sample.Took = sample.Declared + messageTime
			})
		}
		mustBeNear(t, 1, s.model.Pace(s.now, 3))
	})
	t.Run("few slow workers do not raise the pool", func(t *testing.T) {
		// Guards against a fault of a fifth of the workers after which all jobs seem longer than they are.
		s := newSite(1)
		s.spreadRuns(60, "q")
		before := s.model.QueueFactor("q")
		s.paces[0], s.paces[5] = 6, 6
		s.spreadRuns(60, "q")
		mustBeNear(t, before, s.model.QueueFactor("q"))
		must.Greater(t, 3, s.meanPace(6))
		mustBeNear(t, 1, s.meanPace(1))
	})
	t.Run("a job that is far larger than declared raises nobody", func(t *testing.T) {
		s := newSite(1)
		s.spreadRuns(60, "q")
		s.run(2, "q", 50, nil)
		mustBeNear(t, 1, s.model.Pace(s.now, 2))
		mustBeNear(t, 1, s.model.QueueFactor("q"))
	})
	t.Run("runs that favor the fast workers move no factor away", func(t *testing.T) {
		// Guards against paces and factors that grow in opposite directions for as long as the process runs.
		s := newSite(1.3, 1, 0.8)
		for range 2000 {
			for worker, pace := range s.paces {
				if s.random.Float64() < 0.5/pace {
					s.run(worker, "q", 1, nil)
				}
				if s.random.Float64() < 0.05 {
					s.model.Overdue(s.now, Sample[int, string]{Worker: worker, Queue: "q", Declared: declare, Took: 250 * time.Millisecond})
				}
			}
		}
		mustBeNear(t, 1, s.meanPace(1))
		mustBeNear(t, 1, s.model.QueueFactor("q"))
	})
}

func TestOverdue(t *testing.T) {
	// Guards against tasks that are sent to a slow worker until its first runs end.
	s := newSite(1)
	s.spreadRuns(60, "q")
	factor := s.model.QueueFactor("q")
	for range 6 {
		s.model.Overdue(s.now, Sample[int, string]{Worker: 7, Queue: "q", Declared: declare, Took: 3 * declare})
	}
	must.Greater(t, 1.5, s.model.Pace(s.now, 7))
	mustBeNear(t, factor, s.model.QueueFactor("q"))
	before := s.model.Pace(s.now, 7)
	s.model.Overdue(s.now, Sample[int, string]{Worker: 7, Queue: "q", Declared: declare, Took: declare})
	must.Eq(t, before, s.model.Pace(s.now, 7)) // a run that is not slower than the worker tells nothing yet
}

func TestUnknownWorkers(t *testing.T) {
	slow := newSite(2)
	slow.spreadRuns(60, "q")
	t.Run("a worker without a sample is a typical one", func(t *testing.T) { must.Eq(t, 1, slow.model.Pace(slow.now, workers+1)) })
	t.Run("a slow pool is one of typical workers", func(t *testing.T) {
		// Guards against a new worker that seems twice as fast as the others, so that every job waits for it.
		mustBeNear(t, 1, slow.meanPace(2))
		mustBeNear(t, 2, slow.model.QueueFactor("q"))
	})
	t.Run("a forgotten worker is a typical one", func(t *testing.T) {
		s := newSite(1, 3)
		s.spreadRuns(40, "q")
		must.Greater(t, 1.2, s.model.Pace(s.now, 1))
		s.model.Forget(1)
		must.Eq(t, 1, s.model.Pace(s.now, 1))
	})
	t.Run("a worker that gets no runs after it was slow becomes a typical one", func(t *testing.T) {
		// Guards against a worker that was slow for a while and never gets a task again.
		s := newSite(1)
		s.spreadRuns(200, "q")
		s.paces[3], s.paces[7] = 6, 6
		s.spreadRuns(40, "q")
		must.Greater(t, 2.5, s.meanPace(6))
		s.now = s.now.Add(10 * time.Second)
		must.Less(t, 1.5, s.meanPace(6))
		s.now = s.now.Add(time.Minute)
		mustBeNear(t, 1, s.meanPace(6))
	})
	t.Run("a worker that is always slow stays so without runs", func(t *testing.T) {
		// Guards against a quiet time, in which the fast workers get all tasks, after which long tasks run on the slow ones.
		s := newSite(1, 1, 1, 1.6)
		s.spreadRuns(300, "q")
		before := s.meanPace(1.6)
		s.now = s.now.Add(6 * time.Second)
		mustBeNear(t, before, s.meanPace(1.6))
	})
}

func TestColdWorkers(t *testing.T) {
	s := newSite(1)
	s.spreadRuns(60, "q")
	must.Greater(t, 1.2, s.model.ColdPace()) // before any is measured
	for range 100 {
		s.run(4, "q", 3, func(sample *Sample[int, string]) { sample.Cold = true })
	}
	mustBeNear(t, 3, s.model.ColdPace())
	mustBeNear(t, 1, s.model.Pace(s.now, 4)) // once it is warm
}

// Guards against samples that turn a factor into no number.
func TestBadSamples(t *testing.T) {
	for _, sample := range []Sample[int, string]{{}, {Declared: declare}, {Took: declare}, {Declared: 1, Took: math.MaxInt64}, {Declared: math.MaxInt64, Took: 1}} {
		t.Run(fmt.Sprintf("%v for %v", sample.Took, sample.Declared), func(t *testing.T) {
			var l Learned[int, string]
			now := time.Unix(1, 0)
			for range 1000 {
				l.Ended(now, sample)
				l.Overdue(now, sample)
			}
			for _, factor := range []float64{l.Pace(now, 0), l.QueueFactor(""), l.ColdPace()} {
				must.Between(t, 1/float64(maxPace), factor, maxPace)
			}
		})
	}
}
