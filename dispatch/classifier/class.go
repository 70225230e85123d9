package classifier

import "time"

// Class is a range of run times. The zero value is Short, so that work of unknown run time is not restricted.
type Class uint8

// The classes, in order of run time.
const (
	Short  Class = iota // below ShortBelow
	Medium              // below MediumBelow
	Long
)

const (
	// ShortBelow is above 1 s, the run time that most tasks do not reach, so that ordinary work is never restricted.
	ShortBelow = 1500 * time.Millisecond
	// MediumBelow separates tasks of several seconds, which are few, from tasks that run many times longer.
	MediumBelow = 10 * time.Second
)

// ClassOf returns the class of a run time.
func ClassOf(runTime time.Duration) Class {
	switch {
	case runTime < ShortBelow:
		return Short
	case runTime < MediumBelow:
		return Medium
	}
	return Long
}

// Reclassify returns the class of a task of class c that has run for elapsed so far. The result is never a shorter class,
// since elapsed is only a lower bound of the run time.
func (c Class) Reclassify(elapsed time.Duration) Class { return max(c, ClassOf(elapsed)) }

// MaxRunTime returns the run time from which a task belongs to the next class, or zero for Long.
func (c Class) MaxRunTime() time.Duration {
	switch c {
	case Short:
		return ShortBelow
	case Medium:
		return MediumBelow
	}
	return 0
}
