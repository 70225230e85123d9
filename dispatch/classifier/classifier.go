package classifier

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Classifier learns the run times of profiles. Until a profile has run often enough, what its operators
// declared stands in. The zero value is ready; it is used by one goroutine.
type Classifier struct {
	profiles map[string]*learned
}

// learned is what is known of one profile. The figures are cached, because a quantile walks the histogram.
type learned struct {
	recent *hdrhistogram.Histogram // ms
	older  *hdrhistogram.Histogram // the period before, so that a profile that changes is learned again
	class  Class
	mean   time.Duration
	stale  int // samples since the figures were computed
}

const (
	// minSamples is where ten samples of a wide distribution place its upper quartile well enough.
	minSamples = 10
	// period is how many samples a histogram takes before the next one replaces the older one.
	period = 2000
	// refreshEvery bounds the cost of walking the histograms to a small part of a record.
	refreshEvery = 16
	// classQuantile ignores outliers: a quarter of the tasks of a profile must be long before it is held back.
	classQuantile = 75
	// maxRun is the longest run time that is told apart.
	maxRun = time.Hour
	// figures of 1 give a precision of 10% at 3 kB for each histogram.
	figures = 1
)

// Record notes that a task of a profile ran for runTime, or has run that long and still runs.
func (c *Classifier) Record(profile string, runTime time.Duration) {
	if c.profiles == nil {
		c.profiles = make(map[string]*learned)
	}
	known := c.profiles[profile]
	if known == nil {
		known = &learned{recent: newHistogram(), older: newHistogram()}
		c.profiles[profile] = known
	}
	known.record(runTime)
}

// Learned reports whether the profile has run often enough for Class and Mean not to use the declared run time.
func (c *Classifier) Learned(profile string) bool {
	known := c.profiles[profile]
	return known != nil && known.count() >= minSamples
}

// Class returns the class of a profile; typical is its declared run time.
func (c *Classifier) Class(profile string, typical time.Duration) Class {
	if c.Learned(profile) {
		return c.profiles[profile].class
	}
	return ClassOf(typical)
}

// Mean returns the mean run time of a profile; typical is its declared run time.
func (c *Classifier) Mean(profile string, typical time.Duration) time.Duration {
	if c.Learned(profile) {
		return c.profiles[profile].mean
	}
	return typical
}

func (l *learned) count() int64 { return l.recent.TotalCount() + l.older.TotalCount() }

func (l *learned) record(runTime time.Duration) {
	// A value within the bounds of the histogram is always accepted.
	_ = l.recent.RecordValue(max(min(runTime, maxRun).Milliseconds(), 1))
	if l.recent.TotalCount() >= period {
		l.older, l.recent = l.recent, l.older
		l.recent.Reset()
	}
	if l.stale++; l.stale >= refreshEvery || l.count() <= minSamples {
		l.refresh()
	}
}

func (l *learned) refresh() {
	l.stale = 0
	larger := l.recent
	if l.older.TotalCount() > larger.TotalCount() {
		larger = l.older
	}
	l.class = ClassOf(time.Duration(larger.ValueAtQuantile(classQuantile)) * time.Millisecond)
	total := l.recent.Mean()*float64(l.recent.TotalCount()) + l.older.Mean()*float64(l.older.TotalCount())
	l.mean = time.Duration(total / float64(l.count()) * float64(time.Millisecond))
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxRun.Milliseconds(), figures)
}
