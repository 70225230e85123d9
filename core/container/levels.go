package container

import "math/bits"

// MaxLevel is the highest level of Levels.
const MaxLevel = 63

// Levels groups members by a level from 0 to MaxLevel. Moving a member and finding the highest level take constant time for any
// number of members. The zero value is empty.
type Levels[T any] struct {
	levels [MaxLevel + 1][]*Member[T]
	mask   uint64 // bit i is set if levels[i] has a member
}

// Set moves a member to a level, which is limited to the range, and adds the member if it is not present.
func (l *Levels[T]) Set(m *Member[T], level int) {
	level = max(min(level, MaxLevel), 0)
	if m.present && m.level == level {
		return
	}
	l.Remove(m)
	l.levels[level] = append(l.levels[level], m)
	l.mask |= 1 << level
	m.present, m.level, m.index = true, level, len(l.levels[level])-1
}

// Remove removes a member if it is present.
func (l *Levels[T]) Remove(m *Member[T]) {
	if !m.present {
		return
	}
	list := l.levels[m.level]
	last := len(list) - 1
	list[m.index] = list[last]
	list[m.index].index = m.index
	list[last] = nil
	l.levels[m.level] = list[:last]
	if last == 0 {
		l.mask &^= 1 << m.level
	}
	m.present = false
}

// Highest returns the highest level with a member, or -1 if there is no member.
func (l *Levels[T]) Highest() int { return bits.Len64(l.mask) - 1 }

// Len returns the number of members of a level.
func (l *Levels[T]) Len(level int) int { return len(l.levels[level]) }

// At returns a member of a level by its position, which changes when members move.
func (l *Levels[T]) At(level, position int) T { return l.levels[level][position].Item }
