package journaler

import (
	"fmt"

	"oleandertally/core/encoder"
)

// replay rebuilds the content of the log from the operations of its segments, oldest first.
type replay struct {
	content Content
	last    uint64 // index of the last record, which may have been in a removed segment
	started bool   // whether the first segment operation was applied
}

// apply applies one operation. It returns why the operation is invalid, or an empty string.
func (r *replay) apply(operation *encoder.JournalOperation, file *segment) string {
	if !r.started && operation.GetSegment() == nil {
		return "the file does not begin with its segment operation"
	}
	switch kind := operation.GetKind().(type) {
	case *encoder.JournalOperation_Segment:
		return r.applySegment(kind.Segment, file)
	case *encoder.JournalOperation_Record:
		return r.applyRecord(kind.Record, file)
	case *encoder.JournalOperation_TruncateFrom:
		return r.applyTruncate(kind.TruncateFrom)
	case *encoder.JournalOperation_State:
		r.content.State = decodeHardState(kind.State)
	case *encoder.JournalOperation_ResetTo:
		return r.applyReset(kind.ResetTo)
	case *encoder.JournalOperation_CompactThrough:
		return r.applyCompact(kind.CompactThrough)
	default:
		return "the operation is unknown; it was written by a newer version"
	}
	return ""
}

func (r *replay) applySegment(m *encoder.JournalSegment, file *segment) string {
	if m.GetNumber() != file.number {
		return fmt.Sprintf("the file is named for segment %d and holds segment %d", file.number, m.GetNumber())
	}
	if r.started && (m.GetDisk() != r.content.DiskID || m.GetLast() != r.last || m.GetBase() != r.content.Base) {
		return "the segment does not continue the one before it"
	}
	if m.GetLast() < m.GetBase() {
		return fmt.Sprintf("the last index %d is below the base %d", m.GetLast(), m.GetBase())
	}
	r.started = true
	r.content.DiskID, r.content.Base, r.last = m.GetDisk(), m.GetBase(), m.GetLast()
	r.content.State = decodeHardState(m.GetState())
	return ""
}

func (r *replay) applyRecord(m *encoder.JournalRecord, file *segment) string {
	if m.GetIndex() != r.last+1 {
		return fmt.Sprintf("record %d follows record %d", m.GetIndex(), r.last)
	}
	r.content.Records = append(r.content.Records, Record{Index: m.GetIndex(), Term: m.GetTerm(), Data: m.GetData()})
	r.last = m.GetIndex()
	file.highestIndex = max(file.highestIndex, r.last)
	return ""
}

func (r *replay) applyTruncate(from uint64) string {
	if from <= r.content.Base || from > r.last {
		return fmt.Sprintf("truncation from %d in a log of %d to %d", from, r.content.Base+1, r.last)
	}
	removed := min(r.last-from+1, uint64(len(r.content.Records)))
	r.content.Records = r.content.Records[:uint64(len(r.content.Records))-removed]
	r.last = from - 1
	return ""
}

func (r *replay) applyReset(index uint64) string {
	if index < r.content.Base {
		return fmt.Sprintf("reset to %d below the base %d", index, r.content.Base)
	}
	r.content.Records, r.content.Base, r.last = nil, index, index
	return ""
}

func (r *replay) applyCompact(through uint64) string {
	if through > r.last {
		return fmt.Sprintf("compaction through %d in a log that ends at %d", through, r.last)
	}
	r.content.Base = max(r.content.Base, through)
	r.trimCompacted()
	return ""
}

// trimCompacted removes the compacted records.
func (r *replay) trimCompacted() {
	records := r.content.Records
	for len(records) > 0 && records[0].Index <= r.content.Base {
		records[0] = Record{} // otherwise the backing array keeps Data reachable
		records = records[1:]
	}
	r.content.Records = records
}

// findMissing describes a gap between the base and the first record, or returns an empty string.
func (r *replay) findMissing() string {
	first := r.last + 1
	if len(r.content.Records) > 0 {
		first = r.content.Records[0].Index
	}
	if first > r.content.Base+1 {
		return fmt.Sprintf("records %d to %d are missing", r.content.Base+1, first-1)
	}
	return ""
}
