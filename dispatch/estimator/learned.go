package estimator

import (
	"math"
	"time"
)

const (
	// A worker's pace follows about the last 30 runs. Run times within a queue differ by half, so that fewer runs would tell apart
	// workers that are equal. A run that is overdue is rare at a healthy worker, so that it counts as three.
	workerPrior   = 3
	workerWeight  = 0.06
	overdueWeight = 0.2
	// A queue's factor follows about the last 600 runs of the pool, most of which are of jobs with several tasks.
	queuePrior  = 1
	queueWeight = 0.003
	coldPrior   = 10
	coldWeight  = 0.02
	// maxStep bounds the effect of one run, as the logarithm of a factor. A job that takes seven times as long as declared is rare and
	// says nothing about its worker or its queue.
	maxStep = 1.2
	// maxQueueFactor bounds the factor of a queue.
	maxQueueFactor = 4
	// maxPace bounds the pace of a worker.
	maxPace = 12
	// Without a run, a pace is kept for keepPace and then approaches what the worker had over its last 200 runs by half in each
	// paceHalfLife, and that of the typical worker by half in each lastingHalfLife. A worker that was slow for a while gets no runs that
	// would show that it no longer is.
	lastingWeight   = 0.01
	maxLastingStep  = 0.6
	lastingHalfLife = 20 * time.Second
	keepPace        = time.Second
	paceHalfLife    = 2 * time.Second
	// initialCold is the logarithm of the factor of cold workers before one has been measured.
	initialCold = 0.4
	// clearDifference is the difference, as the logarithm of a factor, between the last runs and the lasting pace that counts in full. A
	// smaller one counts by its share of it, since the run times of a few jobs can differ as much.
	clearDifference = 0.7
	// The pace of the worker of a typical run follows that of the last 400 runs. maxTypical bounds the effect of one, so that a few slow
	// workers do not move it.
	typicalWeight = 0.005
	maxTypical    = 0.5
)

// Learned is a Policy that learns from the runs. The zero value has no samples. It is not safe for concurrent use.
type Learned[W, Q comparable] struct {
	workers map[W]*speed
	queues  map[Q]*average // for the typical worker
	cold    *average
	typical float64 // logarithm of the pace of the worker of a typical run
}

// Pace returns 1 for a worker without a sample.
func (l *Learned[W, Q]) Pace(now time.Time, worker W) float64 {
	s := l.workers[worker]
	if s == nil {
		return 1
	}
	pace, lasting := s.at(now, l.typical)
	difference := pace - lasting
	pace = lasting + difference*min(math.Abs(difference)/clearDifference, 1)
	relative := average{value: pace - l.typical}
	return relative.factor(maxPace)
}

// ColdPace returns at least 1.
func (l *Learned[W, Q]) ColdPace() float64 {
	if l.cold == nil {
		return math.Exp(initialCold)
	}
	return max(l.cold.factor(maxPace), 1)
}

// QueueFactor returns 1 for a queue without a sample.
func (l *Learned[W, Q]) QueueFactor(queue Q) float64 {
	q := l.queues[queue]
	if q == nil {
		return 1
	}
	return q.factor(maxQueueFactor)
}

// Ended attributes the ratio of a run's time to its estimate to the worker and to the queue. A run of a cold worker tells only how
// slow cold workers are.
func (l *Learned[W, Q]) Ended(now time.Time, sample Sample[W, Q]) {
	ratio, ok := sample.logRatio()
	if !ok {
		return
	}
	q, s := l.queue(sample.Queue), l.worker(now, sample.Worker)
	relative := s.value - l.typical
	if sample.Cold {
		if l.cold == nil {
			l.cold = &average{value: initialCold}
		}
		l.cold.add(ratio-q.value-relative, coldPrior, coldWeight, maxStep)
		return
	}
	l.learn(now, s, ratio-q.value, workerWeight)
	q.add(ratio-relative, queuePrior, queueWeight, maxStep)
}

// Overdue raises the pace of the worker if the run has already taken longer than expected there. The queue does not learn from it,
// since the run's end follows.
func (l *Learned[W, Q]) Overdue(now time.Time, sample Sample[W, Q]) {
	ratio, ok := sample.logRatio()
	if !ok || sample.Cold {
		return
	}
	s, q := l.worker(now, sample.Worker), l.queue(sample.Queue)
	if ratio-q.value > s.value {
		l.learn(now, s, ratio-q.value, overdueWeight)
	}
}

// learn moves the pace of a worker towards a sample. The typical pace follows, so that what all workers have in common is the
// queues'.
func (l *Learned[W, Q]) learn(now time.Time, s *speed, sample, weight float64) {
	s.add(sample, workerPrior, weight, maxStep)
	s.lasting.add(sample, workerPrior, lastingWeight, maxLastingStep)
	s.measuredAt = now
	l.typical += typicalWeight * max(min(s.value-l.typical, maxTypical), -maxTypical)
}

// worker returns the pace of a worker at a time, and adds that of the typical worker if it is new.
func (l *Learned[W, Q]) worker(now time.Time, worker W) *speed {
	if l.workers == nil {
		l.workers = make(map[W]*speed)
	}
	s := l.workers[worker]
	if s == nil {
		s = &speed{average: average{value: l.typical}, lasting: average{value: l.typical}, measuredAt: now}
		l.workers[worker] = s
	}
	s.value, s.lasting.value = s.at(now, l.typical)
	s.measuredAt = now
	return s
}

func (l *Learned[W, Q]) queue(queue Q) *average {
	if l.queues == nil {
		l.queues = make(map[Q]*average)
	}
	q := l.queues[queue]
	if q == nil {
		q = &average{}
		l.queues[queue] = q
	}
	return q
}

// Forget makes a worker one without a sample.
func (l *Learned[W, Q]) Forget(worker W) { delete(l.workers, worker) }
