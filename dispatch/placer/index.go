package placer

import "oleandertally/core/container"

const (
	// paceClasses is the number of groups of workers by pace. The last one has all slower workers.
	paceClasses = 16
	// classWidth is the difference of pace between two groups.
	classWidth = 0.125
	// firstPace is the pace below which workers are not told apart.
	firstPace = 0.5
	// useWeight is the pace that a full worker loses against an empty one in a choice.
	useWeight = 0.1
	// maxTries bounds the workers of a group that a choice looks at.
	maxTries = 6
)

// Index holds the workers of one pool that may get tasks. Unit is the capacity of one level and is set before use: a choice does
// not tell apart workers whose free capacity differs by less.
type Index[W any] struct {
	Unit    int
	classes [paceClasses]container.Levels[*Place[W]]
}

// Set moves a worker to its group and level, and adds it if it is not in the index.
func (x *Index[W]) Set(p *Place[W], pace float64, free, capacity int) {
	class := min(max(int((pace-firstPace)/classWidth), 0), paceClasses-1)
	if p.class != class {
		x.Remove(p)
	}
	p.class, p.score, p.member.Item = class, pace, p
	p.score += UseScore(free, capacity)
	x.classes[class].Set(&p.member, x.level(free))
}

// UseScore returns the pace that a worker loses in a choice by its use, with the given free part of its capacity.
func UseScore(free, capacity int) float64 {
	if capacity <= 0 {
		return 0
	}
	return useWeight * (1 - float64(free)/float64(capacity))
}

// Remove removes a worker if it is in the index.
func (x *Index[W]) Remove(p *Place[W]) { x.classes[p.class].Remove(&p.member) }

func (x *Index[W]) level(capacity int) int { return max(capacity, 0) / max(x.Unit, 1) }

// Room returns an upper bound of the free capacity of the emptiest worker, or 0 if there is no worker.
func (x *Index[W]) Room() int {
	highest := -1
	for class := range x.classes {
		highest = max(highest, x.classes[class].Highest())
	}
	return (highest + 1) * x.Unit
}

// Choose compares the emptiest workers of all groups that may have need free, and returns the one with the lowest sum of pace, use
// and penalty, or false if there is none. The caller's penalty is at least 0 and reports with false a worker that can't be chosen.
// Groups whose fastest worker could not be better are not looked at.
func (x *Index[W]) Choose(need int, penalty func(W) (float64, bool)) (W, bool) {
	var best W
	bestScore, found := 0.0, false
	for class := range x.classes {
		if found && class > 0 && firstPace+float64(class)*classWidth >= bestScore {
			break
		}
		candidate, score, ok := x.first(class, need, penalty)
		if ok && (!found || score < bestScore) {
			best, bestScore, found = candidate, score, true
		}
	}
	return best, found
}

// first returns the first worker of a group that can be chosen, from the emptiest down, and its score.
func (x *Index[W]) first(class, need int, penalty func(W) (float64, bool)) (candidate W, score float64, ok bool) {
	levels, lowest, tries := &x.classes[class], x.level(need), 0
	for level := levels.Highest(); level >= lowest; level-- {
		for position := range levels.Len(level) {
			p := levels.At(level, position)
			if extra, ok := penalty(p.Worker); ok {
				return p.Worker, p.score + extra, true
			}
			if tries++; tries == maxTries {
				return candidate, 0, false
			}
		}
	}
	return candidate, 0, false
}
