package journaler

import (
	"github.com/cockroachdb/errors"

	"oleandertally/core/encoder"
)

// writer encodes the operations of one Commit into frames.
type writer struct {
	journal    *Journal
	operations []*encoder.JournalOperation
	frameBytes int
}

func (w *writer) add(operation Operation) error {
	j := w.journal
	if err := w.prepareFrame(); err != nil {
		return err
	}
	switch operation := operation.(type) {
	case Append:
		for _, record := range operation.Records {
			if err := w.addRecord(record); err != nil {
				return err
			}
		}
	case Truncate:
		if operation.From <= j.base || operation.From > j.last {
			return errors.Wrapf(ErrOutOfOrder, "truncate from %d in a log of %d to %d", operation.From, j.base+1, j.last)
		}
		j.last = operation.From - 1
		w.addOperation(&encoder.JournalOperation{Kind: &encoder.JournalOperation_TruncateFrom{TruncateFrom: operation.From}}, 0)
	case Persist:
		j.state = operation.State
		w.addOperation(&encoder.JournalOperation{Kind: &encoder.JournalOperation_State{State: operation.State.encode()}}, 0)
	case Reset:
		return w.addReset(operation.Index)
	case Compact:
		if operation.Through > j.last {
			return errors.Wrapf(ErrOutOfOrder, "compact through %d in a log that ends at %d", operation.Through, j.last)
		}
		j.base = max(j.base, operation.Through)
		w.addOperation(&encoder.JournalOperation{Kind: &encoder.JournalOperation_CompactThrough{CompactThrough: operation.Through}}, 0)
	default:
		return errors.Wrapf(ErrOutOfOrder, "unknown operation %T", operation)
	}
	return nil
}

// prepareFrame flushes the pending frame if it is full. Between two frames it starts a new
// segment if the active one is full.
func (w *writer) prepareFrame() error {
	if w.frameBytes >= frameTarget {
		if err := w.flush(); err != nil {
			return err
		}
	}
	if len(w.operations) > 0 {
		return nil
	}
	return w.journal.rollSegment()
}

func (w *writer) addRecord(record Record) error {
	j := w.journal
	if record.Index != j.last+1 {
		return errors.Wrapf(ErrOutOfOrder, "record %d follows record %d", record.Index, j.last)
	}
	if len(record.Data) > MaxRecord {
		return errors.Wrapf(ErrOutOfOrder, "record %d has %d bytes, expected at most %d", record.Index, len(record.Data), MaxRecord)
	}
	if err := w.prepareFrame(); err != nil {
		return err
	}
	j.last = record.Index
	j.active.highestIndex = max(j.active.highestIndex, record.Index)
	message := &encoder.JournalRecord{Index: record.Index, Term: record.Term, Data: record.Data}
	w.addOperation(&encoder.JournalOperation{Kind: &encoder.JournalOperation_Record{Record: message}}, len(record.Data))
	return nil
}

// addReset writes the reset and marks all existing segments as removable. They are removed once
// a later segment is durable.
func (w *writer) addReset(index uint64) error {
	j := w.journal
	if index < j.base {
		return errors.Wrapf(ErrOutOfOrder, "reset to %d below the base %d", index, j.base)
	}
	w.addOperation(&encoder.JournalOperation{Kind: &encoder.JournalOperation_ResetTo{ResetTo: index}}, 0)
	if err := w.flush(); err != nil {
		return err
	}
	j.base, j.last = index, index
	for i := range j.sealed {
		j.sealed[i].highestIndex = 0
	}
	j.active.highestIndex = 0
	return nil
}

// addOperation adds an operation with size bytes of record data to the pending frame. It counts
// 32 bytes of overhead for each operation, which is more than the other fields need.
func (w *writer) addOperation(operation *encoder.JournalOperation, size int) {
	w.operations = append(w.operations, operation)
	w.frameBytes += size + 32
}

func (w *writer) flush() error {
	if len(w.operations) == 0 {
		return nil
	}
	err := w.journal.writeFrame(w.operations)
	w.operations, w.frameBytes = w.operations[:0], 0
	return err
}
