package merger

import (
	"fmt"
	"time"

	"oleandertally/core/recorder"
	"oleandertally/core/specifier"
)

// The drawing's sizes in pixels.
const (
	labelWidth = 220
	plotWidth  = 1100
	laneHeight = 44
)

// drawing is the time line as one lane for each process, with time from left to right.
type drawing struct {
	Width, Height int
	Lanes         []lane
	Bars          []bar
	Arrows        []arrow
	Marks         []mark
}

func draw(timeline Timeline) drawing {
	d := drawing{Width: labelWidth + plotWidth + 20, Height: laneHeight * (len(timeline.Clocks) + 1)}
	lanes := make(map[string]int)
	for i, clock := range timeline.Clocks {
		lanes[clock.Process] = laneHeight*i + laneHeight
		d.Lanes = append(d.Lanes, lane{Name: clock.Process, Y: lanes[clock.Process]})
	}
	x := scale(timeline.Entries)
	for _, e := range timeline.Entries {
		d.Marks = append(d.Marks, mark{X: x(e), Y: lanes[e.Process], Class: classOf(e.Kind), Tooltip: tooltip(e)})
	}
	for _, l := range timeline.Links {
		from, to := timeline.Entries[l.From], timeline.Entries[l.To]
		d.Arrows = append(d.Arrows, arrow{X1: x(from), Y1: lanes[from.Process], X2: x(to), Y2: lanes[to.Process]})
	}
	d.Bars = append(d.Bars, bars(timeline.Entries, lanes, x, recorder.TaskQueued, recorder.TaskStarted, "queued")...)
	d.Bars = append(d.Bars, bars(timeline.Entries, lanes, x, recorder.TaskStarted, recorder.TaskEnded, "running")...)
	return d
}

// scale returns the function that maps an entry to its horizontal position in pixels.
func scale(entries []Entry) func(Entry) int {
	if len(entries) == 0 {
		return func(Entry) int { return labelWidth }
	}
	first, last := entries[0].Aligned, entries[0].Aligned
	for _, e := range entries {
		if e.Aligned.Before(first) {
			first = e.Aligned
		}
		if e.Aligned.After(last) {
			last = e.Aligned
		}
	}
	span := max(last.Sub(first), time.Microsecond)
	return func(e Entry) int {
		return labelWidth + int(float64(plotWidth)*float64(e.Aligned.Sub(first))/float64(span))
	}
}

// bars returns a bar for each pair of events of kinds from and to that follow each other for the same task at the same
// process.
func bars(entries []Entry, lanes map[string]int, x func(Entry) int, from, to recorder.Kind, class string) []bar {
	type key struct {
		process string
		task    specifier.TaskKey
	}
	var drawn []bar
	open := make(map[key]Entry)
	for _, e := range entries {
		k := key{process: e.Process, task: specifier.TaskKey{Job: e.Job, Task: e.Task}}
		if start, ok := open[k]; ok && e.Kind == to {
			drawn = append(drawn, bar{X: x(start), Y: lanes[e.Process] - 8, Width: max(x(e)-x(start), 1), Class: class,
				Tooltip: fmt.Sprintf("%s %s for %s", e.Task, class, round(e.At.Sub(start.At)))})
			delete(open, k)
		}
		if e.Kind == from {
			open[k] = e
		}
	}
	return drawn
}

func classOf(kind recorder.Kind) string {
	switch kind {
	case recorder.TaskRefused, recorder.JobFenced, recorder.MemberDown, recorder.MemberDraining:
		return "refused"
	case recorder.JobSubmitted, recorder.JobAnswered:
		return "caller"
	}
	return "step"
}

func tooltip(e Entry) string {
	text := fmt.Sprintf("%s %s", e.Aligned.UTC().Format(timeFormat), e.Kind)
	for _, part := range []string{e.Task, recorder.ProcessName(e.Other), e.Detail} {
		if part != "" {
			text += " " + part
		}
	}
	return text
}
