package journaler

import (
	"fmt"

	"oleandertally/core/encoder"
)

// replay applies operations read from segments, in the order in which they were written.
type replay struct {
	content Content
	last    uint64 // index of the last record, whether it is held or in a removed segment
	begun   bool
}

// apply returns what is wrong with the operation, or nothing.
func (r *replay) apply(operation *encoder.JournalOperation, in *segment) string {
	if !r.begun && operation.GetSegment() == nil {
		return "the file does not begin with its segment operation"
	}
	switch kind := operation.GetKind().(type) {
	case *encoder.JournalOperation_Segment:
		return r.segment(kind.Segment, in)
	case *encoder.JournalOperation_Record:
		return r.record(kind.Record, in)
	case *encoder.JournalOperation_TruncateFrom:
		return r.truncate(kind.TruncateFrom)
	case *encoder.JournalOperation_State:
		r.content.State = stateOf(kind.State)
	case *encoder.JournalOperation_ResetTo:
		return r.reset(kind.ResetTo)
	case *encoder.JournalOperation_CompactThrough:
		return r.compact(kind.CompactThrough)
	default:
		return "the operation is unknown; it was written by a newer version"
	}
	return ""
}

func (r *replay) segment(m *encoder.JournalSegment, in *segment) string {
	if m.GetNumber() != in.number {
		return fmt.Sprintf("the file is named for segment %d and holds segment %d", in.number, m.GetNumber())
	}
	if r.begun && (m.GetDisk() != r.content.DiskID || m.GetLast() != r.last || m.GetBase() != r.content.Base) {
		return "the segment does not continue the one before it"
	}
	if m.GetLast() < m.GetBase() {
		return fmt.Sprintf("the last index %d is below the base %d", m.GetLast(), m.GetBase())
	}
	r.begun = true
	r.content.DiskID, r.content.Base, r.last = m.GetDisk(), m.GetBase(), m.GetLast()
	r.content.State = stateOf(m.GetState())
	return ""
}

func (r *replay) record(m *encoder.JournalRecord, in *segment) string {
	if m.GetIndex() != r.last+1 {
		return fmt.Sprintf("record %d follows record %d", m.GetIndex(), r.last)
	}
	r.content.Records = append(r.content.Records, Record{Index: m.GetIndex(), Term: m.GetTerm(), Data: m.GetData()})
	r.last = m.GetIndex()
	in.highest = max(in.highest, r.last)
	return ""
}

func (r *replay) truncate(from uint64) string {
	if from <= r.content.Base || from > r.last {
		return fmt.Sprintf("truncation from %d in a log of %d to %d", from, r.content.Base+1, r.last)
	}
	removed := min(r.last-from+1, uint64(len(r.content.Records)))
	r.content.Records = r.content.Records[:uint64(len(r.content.Records))-removed]
	r.last = from - 1
	return ""
}

func (r *replay) reset(index uint64) string {
	if index < r.content.Base {
		return fmt.Sprintf("reset to %d below the base %d", index, r.content.Base)
	}
	r.content.Records, r.content.Base, r.last = nil, index, index
	return ""
}

func (r *replay) compact(through uint64) string {
	if through > r.last {
		return fmt.Sprintf("compaction through %d in a log that ends at %d", through, r.last)
	}
	r.content.Base = max(r.content.Base, through)
	r.trim()
	return ""
}

// trim removes the records that are compacted away.
func (r *replay) trim() {
	records := r.content.Records
	for len(records) > 0 && records[0].Index <= r.content.Base {
		records[0] = Record{} // the backing array would keep Data alive
		records = records[1:]
	}
	r.content.Records = records
}

// missing returns what lacks between the base and the records held, or nothing.
func (r *replay) missing() string {
	first := r.last + 1
	if len(r.content.Records) > 0 {
		first = r.content.Records[0].Index
	}
	if first > r.content.Base+1 {
		return fmt.Sprintf("records %d to %d are missing", r.content.Base+1, first-1)
	}
	return ""
}
