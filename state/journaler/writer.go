package journaler

import (
	"github.com/cockroachdb/errors"

	"oleandertally/core/encoder"
)

// writer collects the operations of one Commit into frames.
type writer struct {
	journal *Journal
	frame   []*encoder.JournalOperation
	bytes   int
}

func (w *writer) add(operation Operation) error {
	j := w.journal
	if err := w.prepare(); err != nil {
		return err
	}
	switch operation := operation.(type) {
	case Append:
		for _, record := range operation.Records {
			if err := w.record(record); err != nil {
				return err
			}
		}
	case Truncate:
		if operation.From <= j.base || operation.From > j.last {
			return errors.Wrapf(ErrOutOfOrder, "truncate from %d in a log of %d to %d", operation.From, j.base+1, j.last)
		}
		j.last = operation.From - 1
		w.put(&encoder.JournalOperation{Kind: &encoder.JournalOperation_TruncateFrom{TruncateFrom: operation.From}}, 0)
	case Persist:
		j.state = operation.State
		w.put(&encoder.JournalOperation{Kind: &encoder.JournalOperation_State{State: operation.State.message()}}, 0)
	case Reset:
		return w.reset(operation.Index)
	case Compact:
		if operation.Through > j.last {
			return errors.Wrapf(ErrOutOfOrder, "compact through %d in a log that ends at %d", operation.Through, j.last)
		}
		j.base = max(j.base, operation.Through)
		w.put(&encoder.JournalOperation{Kind: &encoder.JournalOperation_CompactThrough{CompactThrough: operation.Through}}, 0)
	default:
		return errors.Wrapf(ErrOutOfOrder, "unknown operation %T", operation)
	}
	return nil
}

// prepare writes a full frame, and starts a new segment between two frames when the active one is full.
func (w *writer) prepare() error {
	if w.bytes >= frameTarget {
		if err := w.flush(); err != nil {
			return err
		}
	}
	if len(w.frame) > 0 {
		return nil
	}
	return w.journal.roll()
}

func (w *writer) record(record Record) error {
	j := w.journal
	if record.Index != j.last+1 {
		return errors.Wrapf(ErrOutOfOrder, "record %d follows record %d", record.Index, j.last)
	}
	if len(record.Data) > MaxRecord {
		return errors.Wrapf(ErrOutOfOrder, "record %d has %d bytes, expected at most %d", record.Index, len(record.Data), MaxRecord)
	}
	if err := w.prepare(); err != nil {
		return err
	}
	j.last = record.Index
	j.active.highest = max(j.active.highest, record.Index)
	message := &encoder.JournalRecord{Index: record.Index, Term: record.Term, Data: record.Data}
	w.put(&encoder.JournalOperation{Kind: &encoder.JournalOperation_Record{Record: message}}, len(record.Data))
	return nil
}

// reset makes every segment removable, once a new one that does not need them is durable.
func (w *writer) reset(index uint64) error {
	j := w.journal
	if index < j.base {
		return errors.Wrapf(ErrOutOfOrder, "reset to %d below the base %d", index, j.base)
	}
	w.put(&encoder.JournalOperation{Kind: &encoder.JournalOperation_ResetTo{ResetTo: index}}, 0)
	if err := w.flush(); err != nil {
		return err
	}
	j.base, j.last = index, index
	for i := range j.sealed {
		j.sealed[i].highest = 0
	}
	j.active.highest = 0
	return nil
}

// put counts an overhead of 32 bytes for each operation, above what its fields need.
func (w *writer) put(operation *encoder.JournalOperation, size int) {
	w.frame = append(w.frame, operation)
	w.bytes += size + 32
}

func (w *writer) flush() error {
	if len(w.frame) == 0 {
		return nil
	}
	err := w.journal.write(w.frame)
	w.frame, w.bytes = w.frame[:0], 0
	return err
}
