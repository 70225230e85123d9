package sharer

import "time"

const (
	// backlogStep is the precision of a Backlog. Objectives allow a wait of at least some tens of milliseconds.
	backlogStep = 10 * time.Millisecond
	// backlogSteps times backlogStep is longer than the objectives of jobs of up to a second.
	backlogSteps = 256
)

// Backlog is waiting work, added up by the time at which it should start at the latest. It answers demand above capacity: what waits
// before a new job, and what would start too late because of it, is known without a look at every waiting item. The zero value is empty.
type Backlog struct {
	steps   [backlogSteps]float64 // by number modulo backlogSteps
	first   int64                 // number of the step of the present
	last    int64                 // number of the last step that may have work
	overdue float64               // work that should have started before
	distant float64               // work that was added more than all steps ahead
}

func stepNumber(at time.Time) int64 { return at.UnixNano() / int64(backlogStep) }

// Add adds work that should start by a time, and returns its place.
func (b *Backlog) Add(now, start time.Time, work float64) BacklogPlace {
	b.advance(now)
	place := BacklogPlace(stepNumber(start))
	if int64(place) >= b.first+backlogSteps {
		place = distantPlace
	} else {
		b.last = max(b.last, int64(place))
	}
	b.change(place, work)
	return place
}

// Remove removes work from the place that Add has returned.
func (b *Backlog) Remove(now time.Time, place BacklogPlace, work float64) {
	b.advance(now)
	b.change(place, -work)
}

// Before returns the work that should start by a time.
func (b *Backlog) Before(now, start time.Time) float64 {
	b.advance(now)
	total := b.overdue
	for number := b.first; number <= min(stepNumber(start), b.last); number++ {
		total += b.steps[number%backlogSteps]
	}
	return total
}

// Displaced returns how much of the work that should start after a time would start too late if more work were put before it, while
// the given number of slots works on all of it.
func (b *Backlog) Displaced(now, start time.Time, work, slots float64) float64 {
	total, behind, displaced := b.Before(now, start), 0.0, 0.0
	for number := max(stepNumber(start), b.first-1) + 1; number <= b.last; number++ {
		waiting := b.steps[number%backlogSteps]
		if waiting == 0 {
			continue
		}
		total, behind = total+waiting, behind+waiting
		done := slots * (time.Duration(number+1)*backlogStep - time.Duration(now.UnixNano())).Seconds()
		displaced = max(displaced, min(total+work-done, behind))
	}
	return displaced
}

// advance makes the step of now the first one.
func (b *Backlog) advance(now time.Time) {
	present := stepNumber(now)
	for range min(max(present-b.first, 0), backlogSteps) {
		at := b.first % backlogSteps
		b.overdue += b.steps[at]
		b.steps[at] = 0
		b.first++
	}
	b.first = max(b.first, present)
}

func (b *Backlog) change(place BacklogPlace, work float64) {
	sum := &b.overdue
	switch {
	case place == distantPlace:
		sum = &b.distant
	case int64(place) >= b.first:
		sum = &b.steps[int64(place)%backlogSteps]
	}
	*sum = max(*sum+work, 0)
}
