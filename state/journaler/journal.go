package journaler

import (
	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"oleandertally/core/encoder"
)

// DefaultSegmentSize is the default size at which a segment is full, in bytes.
const DefaultSegmentSize = 64 << 20

// Journal is a write-ahead log. It is not safe for concurrent use. Exported fields are set before Open.
type Journal struct {
	Folder      Folder
	SegmentSize int64  // size in bytes at which a new segment starts; 0 means DefaultSegmentSize
	DiskID      uint64 // random identity that a new data folder gets
	Log         zerolog.Logger
	// Full is called when the disk takes no more bytes. It returns once another attempt is worthwhile, or returns the error with which the
	// commit fails. nil fails the commit at once.
	Full func(cause error) error

	sealed      []segment // oldest first
	active      segment
	file        File
	size        int64  // size of the active segment, in bytes
	activeEmpty bool   // whether the active segment holds only its initial frame
	nextFrame   uint64 // number of the next frame
	diskID      uint64 // stored identity of the data folder
	state       HardState
	base        uint64 // index of the last compacted record
	last        uint64 // index of the last record
	buffer      []byte
	failure     error
}

// Base returns the index of the last compacted record.
func (j *Journal) Base() uint64 { return j.base }

// Last returns the index of the last record, or Base if the log is empty.
func (j *Journal) Last() uint64 { return j.last }

// Size returns the size of all segments, in bytes.
func (j *Journal) Size() int64 {
	total := j.size
	for _, each := range j.sealed {
		total += each.size
	}
	return total
}

// Commit writes the operations in order and returns once they are durable. All operations
// share one sync unless their records exceed 4 MiB. Every error is permanent and matches
// ErrFailed; an error caused by an invalid operation also matches ErrOutOfOrder.
func (j *Journal) Commit(operations ...Operation) error {
	if j.failure != nil {
		return j.failure
	}
	w := &writer{journal: j}
	for _, operation := range operations {
		if err := w.add(operation); err != nil {
			return j.fail(err)
		}
	}
	if err := w.flush(); err != nil {
		return j.fail(err)
	}
	if err := j.removeCompacted(); err != nil {
		return j.fail(err)
	}
	return nil
}

// Close writes an empty frame after the last one and closes the active segment. The folder stays open.
func (j *Journal) Close() error {
	if j.file == nil {
		return nil
	}
	var err error
	if j.failure == nil {
		err = j.writeFrame(nil)
		j.failure = &failure{cause: errors.New("journal is closed")}
	}
	err = errors.CombineErrors(err, j.file.Close())
	j.file = nil
	return err
}

// fail records err, so that every later Commit returns it.
func (j *Journal) fail(err error) error {
	j.failure = &failure{cause: err}
	return j.failure
}

// writeFrame appends one frame to the active segment and syncs it.
func (j *Journal) writeFrame(operations []*encoder.JournalOperation) error {
	buffer, err := appendFrame(j.buffer[:0], j.nextFrame, operations)
	if err != nil {
		return errors.Wrap(err, "encode frame")
	}
	if cap(buffer) <= 2*frameTarget {
		j.buffer = buffer
	}
	if err := j.whileFull(func() error { return j.append(buffer) }); err != nil {
		return errors.Wrapf(err, "write %s at offset %d", j.active.name(), j.size)
	}
	if err := j.file.Sync(); err != nil {
		return errors.Wrapf(err, "sync %s", j.active.name())
	}
	j.activeEmpty = false
	j.nextFrame++
	j.size += int64(len(buffer))
	return nil
}

// startSegment creates a segment and makes it the active one. The folder is synced before the
// segment is used, so that a crash cannot lose the file.
func (j *Journal) startSegment(number uint64) error {
	next := segment{number: number}
	var file File
	err := j.whileFull(func() error {
		var err error
		file, err = j.Folder.Create(next.name())
		return err
	})
	if err != nil {
		return errors.Wrapf(err, "create %s", next.name())
	}
	if j.file != nil {
		j.seal()
		if err := j.file.Close(); err != nil {
			return errors.Wrapf(err, "close %s", j.active.name())
		}
	}
	j.file, j.active, j.size = file, next, 0
	initial := &encoder.JournalSegment{Number: number, Disk: j.diskID, Base: j.base, Last: j.last, State: j.state.encode()}
	if err := j.writeFrame([]*encoder.JournalOperation{{Kind: &encoder.JournalOperation_Segment{Segment: initial}}}); err != nil {
		return err
	}
	j.activeEmpty = true
	return errors.Wrap(j.Folder.Sync(), "sync data folder")
}

// seal adds the active segment to the sealed ones.
func (j *Journal) seal() {
	j.active.size = j.size
	j.sealed = append(j.sealed, j.active)
}

// rollSegment starts a new segment if the active one is full.
func (j *Journal) rollSegment() error {
	if j.activeEmpty || j.size < j.SegmentSize {
		return nil
	}
	return j.startSegment(j.active.number + 1)
}

// removeCompacted removes the oldest segments as long as they hold only compacted records.
func (j *Journal) removeCompacted() error {
	removed := 0
	for removed < len(j.sealed) && j.sealed[removed].highestIndex <= j.base {
		if err := j.Folder.Remove(j.sealed[removed].name()); err != nil {
			return errors.Wrapf(err, "remove %s", j.sealed[removed].name())
		}
		removed++
	}
	if removed == 0 {
		return nil
	}
	j.sealed = append(j.sealed[:0], j.sealed[removed:]...)
	return errors.Wrap(j.Folder.Sync(), "sync data folder")
}
