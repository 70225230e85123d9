package replicator

import (
	"fmt"
	"slices"
)

// disk is a fake data folder with its durable content and the queued writes, which a crash may lose.
type disk struct {
	state     HardState
	snapshot  Snapshot
	entries   []Entry
	queue     []Action
	snapshots map[Index]uint64 // digest of the state in each snapshot file
	saving    *SaveSnapshot
	digest    uint64 // digest of the state that is being saved
}

func newDisk() *disk { return &disk{snapshots: make(map[Index]uint64)} }

// write makes the first count queued actions durable and returns the number of the last one, or 0.
func (d *disk) write(count int) (last Write, err error) {
	for _, action := range d.queue[:count] {
		number, fault := d.perform(action)
		last = max(last, number)
		if fault != nil {
			return last, fault
		}
	}
	d.queue = slices.Clone(d.queue[count:])
	return last, nil
}

func (d *disk) perform(action Action) (Write, error) {
	switch action := action.(type) {
	case Persist:
		d.state = action.State
		return action.Write, nil
	case Append:
		if next := d.last() + 1; action.Entries[0].Index != next {
			return 0, fmt.Errorf("appended index %d to a stored log that ends before %d", action.Entries[0].Index, next)
		}
		d.entries = append(slices.Clip(d.entries), action.Entries...)
		return action.Write, nil
	case Truncate:
		d.entries = slices.DeleteFunc(slices.Clone(d.entries), func(e Entry) bool { return e.Index >= action.From })
		return action.Write, nil
	case Restore:
		d.snapshot, d.entries = action.Snapshot, nil
		return action.Write, nil
	case Compact:
		d.entries = slices.DeleteFunc(slices.Clone(d.entries), func(e Entry) bool { return e.Index <= action.Through })
	}
	return 0, nil
}

// next returns the first action that is not durable, or nil.
func (d *disk) next() Action {
	if len(d.queue) == 0 {
		return nil
	}
	return d.queue[0]
}

func (d *disk) last() Index {
	if len(d.entries) == 0 {
		return d.snapshot.Index
	}
	return d.entries[len(d.entries)-1].Index
}

// isDurable reports whether the entry at index survives a crash.
func (d *disk) isDurable(index Index, term Term) bool {
	if index <= d.snapshot.Index {
		return true
	}
	return slices.ContainsFunc(d.entries, func(e Entry) bool { return e.Index == index && e.Term == term })
}

// completeSnapshot makes the snapshot that is being saved durable and returns its index.
func (d *disk) completeSnapshot() Index {
	saved := d.saving.Snapshot
	d.saving = nil
	d.snapshots[saved.Index] = d.digest
	if saved.Index > d.snapshot.Index {
		d.snapshot = saved
	}
	return saved.Index
}

func (d *disk) recovered() Recovered {
	return Recovered{State: d.state, Snapshot: d.snapshot, Entries: slices.Clone(d.entries)}
}
