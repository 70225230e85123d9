package journaler

import (
	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"oleandertally/core/encoder"
)

// DefaultSegmentSize is the size from which a segment takes no more frames, in bytes.
const DefaultSegmentSize = 64 << 20

// Journal writes the log. It is used by one goroutine; exported fields are set before Open.
type Journal struct {
	Folder      Folder
	SegmentSize int64  // 0 means DefaultSegmentSize
	DiskID      uint64 // identity for a folder that is new; random
	Log         zerolog.Logger

	sealed  []segment // oldest first
	active  segment
	file    File
	size    int64
	fresh   bool   // the active segment holds only its first frame
	frame   uint64 // number of the next frame
	disk    uint64
	state   HardState
	base    uint64
	last    uint64
	buffer  []byte
	failure error
}

// Base returns the index through which records are compacted away.
func (j *Journal) Base() uint64 { return j.base }

// Last returns the index of the last record, or Base when there is none.
func (j *Journal) Last() uint64 { return j.last }

// Commit writes the operations in order and returns once they survive a crash. Several
// operations share one sync unless their records exceed 4 MiB. Every error is an ErrFailed and
// permanent; one that the caller caused is an ErrOrder too.
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

// Close marks the end of the log as synced and closes the file. It does not close the folder.
func (j *Journal) Close() error {
	if j.file == nil {
		return nil
	}
	var err error
	if j.failure == nil {
		err = j.write(nil)
		j.failure = &failure{cause: errors.New("it is closed")}
	}
	err = errors.CombineErrors(err, j.file.Close())
	j.file = nil
	return err
}

// fail makes err the result of every later call.
func (j *Journal) fail(err error) error {
	j.failure = &failure{cause: err}
	return j.failure
}

// write appends one frame to the active segment and syncs it.
func (j *Journal) write(operations []*encoder.JournalOperation) error {
	buffer, err := appendFrame(j.buffer[:0], j.frame, operations)
	if err != nil {
		return errors.Wrap(err, "encode frame")
	}
	if cap(buffer) <= 2*frameTarget {
		j.buffer = buffer
	}
	if _, err := j.file.Write(buffer); err != nil {
		return errors.Wrapf(err, "write %s at offset %d", j.active.name(), j.size)
	}
	if err := j.file.Sync(); err != nil {
		return errors.Wrapf(err, "sync %s", j.active.name())
	}
	j.fresh = false
	j.frame++
	j.size += int64(len(buffer))
	return nil
}

// begin starts a segment. The folder is synced before anything in the segment is relied on.
func (j *Journal) begin(number uint64) error {
	next := segment{number: number}
	file, err := j.Folder.Create(next.name())
	if err != nil {
		return errors.Wrapf(err, "create %s", next.name())
	}
	if j.file != nil {
		j.sealed = append(j.sealed, j.active)
		if err := j.file.Close(); err != nil {
			return errors.Wrapf(err, "close %s", j.active.name())
		}
	}
	j.file, j.active, j.size = file, next, 0
	first := &encoder.JournalSegment{Number: number, Disk: j.disk, Base: j.base, Last: j.last, State: j.state.message()}
	if err := j.write([]*encoder.JournalOperation{{Kind: &encoder.JournalOperation_Segment{Segment: first}}}); err != nil {
		return err
	}
	j.fresh = true
	return errors.Wrap(j.Folder.Sync(), "sync data folder")
}

// roll starts a new segment when the active one is full.
func (j *Journal) roll() error {
	if j.fresh || j.size < j.SegmentSize {
		return nil
	}
	return j.begin(j.active.number + 1)
}

// removeCompacted removes the oldest segments that hold only compacted records.
func (j *Journal) removeCompacted() error {
	removed := 0
	for removed < len(j.sealed) && j.sealed[removed].highest <= j.base {
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
