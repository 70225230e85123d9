package replicator

import "slices"

// entryLog is the part of the log after base. Disk writes and messages share slices of it, so elements are never
// overwritten: after a truncation or compaction, the log continues in a new array.
type entryLog struct {
	base     Index
	baseTerm Term
	entries  []Entry
	bytes    int // size of the entries
}

// last returns the index of the newest entry.
func (l *entryLog) last() Index { return l.base + Index(len(l.entries)) }

// lastTerm returns the term of the newest entry.
func (l *entryLog) lastTerm() Term {
	term, _ := l.term(l.last())
	return term
}

// term returns the term of the entry at index, and false if the log does not contain it.
func (l *entryLog) term(index Index) (Term, bool) {
	switch {
	case index == l.base:
		return l.baseTerm, true
	case index < l.base || index > l.last():
		return 0, false
	}
	return l.entries[index-l.base-1].Term, true
}

// slice returns the entries between from and to, both inclusive; from is greater than base.
func (l *entryLog) slice(from, to Index) []Entry {
	low, high := from-l.base-1, to-l.base
	return l.entries[low:high:high]
}

// batch returns the entries starting at from that fit into size bytes, but at least one if there is any.
func (l *entryLog) batch(from Index, size int) []Entry {
	to := from
	for ; to <= l.last(); to++ {
		size -= l.entries[to-l.base-1].size()
		if size < 0 && to > from {
			break
		}
	}
	return l.slice(from, to-1)
}

func (l *entryLog) append(entries ...Entry) {
	l.entries = append(l.entries, entries...)
	l.bytes += sizeOf(entries)
}

// truncate removes the entry at from and all later ones, and returns their size.
func (l *entryLog) truncate(from Index) int {
	removed := sizeOf(l.entries[from-l.base-1:])
	l.entries = slices.Clip(l.entries[:from-l.base-1])
	l.bytes -= removed
	return removed
}

// compact removes the entries up to and including through.
func (l *entryLog) compact(through Index) {
	term, _ := l.term(through)
	l.bytes -= sizeOf(l.entries[:through-l.base])
	l.entries = slices.Clone(l.entries[through-l.base:])
	l.base, l.baseTerm = through, term
}

// keep returns the index before the entries that end at index and number at most count with at most size bytes.
func (l *entryLog) keep(index Index, count, size int) Index {
	first := index
	for ; first > l.base && index-first < Index(count); first-- {
		size -= l.entries[first-l.base-1].size()
		if size < 0 {
			break
		}
	}
	return first
}

// reset empties the log and sets its base to the position of a snapshot.
func (l *entryLog) reset(index Index, term Term) { *l = entryLog{base: index, baseTerm: term} }

// lastPossibleMatch returns the greatest index, at most index, whose entry has at most the given term. Entries after it
// have a greater term and cannot match a log that has the given term at index.
func (l *entryLog) lastPossibleMatch(index Index, term Term) Index {
	index = min(index, l.last())
	for index > l.base {
		if ownTerm, _ := l.term(index); ownTerm <= term {
			break
		}
		index--
	}
	return index
}
