package classifier

import "time"

// Class is a band of run times. The zero value is Short: unknown work is not held back.
type Class uint8

// The classes, in order of run time.
const (
	Short  Class = iota // below ShortBelow
	Medium              // below MediumBelow
	Long
)

const (
	// ShortBelow is above the 1 s that most tasks stay under, so that ordinary work is never held back.
	ShortBelow = 1500 * time.Millisecond
	// MediumBelow separates the few tasks of several seconds from those many times longer.
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

// Reclassify returns the class of a task that was started as class c and has run for elapsed: never a
// shorter one, since elapsed is only a lower bound of the run time.
func (c Class) Reclassify(elapsed time.Duration) Class { return max(c, ClassOf(elapsed)) }

// MaxRunTime returns the run time after which a task of the class belongs to the next one, or zero for Long.
func (c Class) MaxRunTime() time.Duration {
	switch c {
	case Short:
		return ShortBelow
	case Medium:
		return MediumBelow
	}
	return 0
}
