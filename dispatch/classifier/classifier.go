package classifier

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Classifier estimates the run times of profiles from completed tasks. Until a profile has enough samples, its
// declared run time is used. The zero value is ready to use. A Classifier is not safe for concurrent use.
type Classifier struct {
	profiles map[string]*runTimes
}

// runTimes holds the samples of one profile. Class and mean are cached, because a quantile scans the histogram.
type runTimes struct {
	recent       *hdrhistogram.Histogram // ms
	older        *hdrhistogram.Histogram // the previous samples; replaced, so that estimates follow a profile that changes
	class        Class
	mean         time.Duration
	sinceRefresh int // samples since class and mean were computed
}

const (
	// minSamples is enough to estimate the upper quartile of a wide distribution.
	minSamples = 10
	// histogramSamples is the number of samples after which the recent histogram replaces the older one.
	histogramSamples = 2000
	// refreshSamples is the number of samples between two scans of the histograms, so that the scans are a small part
	// of the cost of Record.
	refreshSamples = 16
	// classQuantile ignores outliers: a profile is restricted only when a quarter of its tasks are long.
	classQuantile = 75
	// maxRunTime is the upper bound of the histograms; longer run times count as this one.
	maxRunTime = time.Hour
	// significantFigures of 1 gives a precision of 10% at 3 kB for each histogram.
	significantFigures = 1
)

// Record adds a sample: a task of the profile ran for runTime, or has run for that long and is still running.
func (c *Classifier) Record(profile string, runTime time.Duration) {
	if c.profiles == nil {
		c.profiles = make(map[string]*runTimes)
	}
	samples := c.profiles[profile]
	if samples == nil {
		samples = &runTimes{recent: newHistogram(), older: newHistogram()}
		c.profiles[profile] = samples
	}
	samples.record(runTime)
}

// Learned reports whether the profile has enough samples for Class and Mean to use them instead of the declared run time.
func (c *Classifier) Learned(profile string) bool {
	samples := c.profiles[profile]
	return samples != nil && samples.count() >= minSamples
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

func (r *runTimes) count() int64 { return r.recent.TotalCount() + r.older.TotalCount() }

func (r *runTimes) record(runTime time.Duration) {
	// The error is always nil: the value is within the bounds of the histogram.
	_ = r.recent.RecordValue(max(min(runTime, maxRunTime).Milliseconds(), 1))
	if r.recent.TotalCount() >= histogramSamples {
		r.older, r.recent = r.recent, r.older
		r.recent.Reset()
	}
	if r.sinceRefresh++; r.sinceRefresh >= refreshSamples || r.count() <= minSamples {
		r.refresh()
	}
}

func (r *runTimes) refresh() {
	r.sinceRefresh = 0
	larger := r.recent
	if r.older.TotalCount() > larger.TotalCount() {
		larger = r.older
	}
	r.class = ClassOf(time.Duration(larger.ValueAtQuantile(classQuantile)) * time.Millisecond)
	total := r.recent.Mean()*float64(r.recent.TotalCount()) + r.older.Mean()*float64(r.older.TotalCount())
	r.mean = time.Duration(total / float64(r.count()) * float64(time.Millisecond))
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxRunTime.Milliseconds(), significantFigures)
}
