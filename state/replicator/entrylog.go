package replicator

import "slices"

// entryLog is the part of the log after base. Slices of it are shared with disk writes and messages, so an
// element is never overwritten: truncation and compaction continue in a new array.
type entryLog struct {
	base     Index
	baseTerm Term
	entries  []Entry
}

// last returns the index of the newest entry.
func (l *entryLog) last() Index { return l.base + Index(len(l.entries)) }

// lastTerm returns the term of the newest entry.
func (l *entryLog) lastTerm() Term {
	term, _ := l.term(l.last())
	return term
}

// term returns the term at index; false when the log does not hold it.
func (l *entryLog) term(index Index) (Term, bool) {
	switch {
	case index == l.base:
		return l.baseTerm, true
	case index < l.base || index > l.last():
		return 0, false
	}
	return l.entries[index-l.base-1].Term, true
}

// slice returns the entries from from to to, inclusive; from is after base.
func (l *entryLog) slice(from, to Index) []Entry {
	low, high := from-l.base-1, to-l.base
	return l.entries[low:high:high]
}

// batch returns the entries from from on that fit into size bytes, at least one if there is any.
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

// append adds entries at the end.
func (l *entryLog) append(entries ...Entry) { l.entries = append(l.entries, entries...) }

// truncate removes the entry at from and all later ones.
func (l *entryLog) truncate(from Index) { l.entries = slices.Clip(l.entries[:from-l.base-1]) }

// compact removes the entries up to through, inclusive.
func (l *entryLog) compact(through Index) {
	term, _ := l.term(through)
	l.entries = slices.Clone(l.entries[through-l.base:])
	l.base, l.baseTerm = through, term
}

// reset empties the log after a snapshot.
func (l *entryLog) reset(index Index, term Term) { *l = entryLog{base: index, baseTerm: term} }

// agreement returns the greatest index up to index whose term is at most term: what follows it cannot
// agree with a log that has term at index.
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
