package journaler

import (
	"bufio"
	"fmt"
	"io"

	"github.com/cockroachdb/errors"
)

// Open reads the whole log and prepares the journal for Commit. It returns a *CorruptionError
// if the content differs from what was synced.
func (j *Journal) Open() (Content, error) {
	if j.SegmentSize <= 0 {
		j.SegmentSize = DefaultSegmentSize
	}
	segments, err := j.listSegments()
	if err != nil {
		return Content{}, err
	}
	r := &replay{}
	j.nextFrame = 1
	for i := range segments {
		if err := j.replaySegment(&segments[i], r, i == 0, i == len(segments)-1); err != nil {
			return Content{}, err
		}
	}
	if !r.started {
		j.diskID = j.DiskID
		if err := j.startSegment(1); err != nil {
			return Content{}, j.fail(err)
		}
		return Content{DiskID: j.diskID}, nil
	}
	if cause := r.findMissing(); cause != "" {
		return Content{}, &CorruptionError{File: segments[0].name(), Cause: cause}
	}
	return r.content, j.restore(r)
}

// listSegments returns the segments of the folder. A gap in their numbers is an error.
func (j *Journal) listSegments() ([]segment, error) {
	names, err := j.Folder.Names()
	if err != nil {
		return nil, errors.Wrap(err, "list data folder")
	}
	var segments []segment
	for _, name := range names {
		parsed, ok := parseSegment(name)
		if !ok {
			continue
		}
		if n := len(segments); n > 0 && segments[n-1].number+1 != parsed.number {
			cause := fmt.Sprintf("segment %d is missing", segments[n-1].number+1)
			return nil, &CorruptionError{File: segments[n-1].name(), Cause: cause}
		}
		segments = append(segments, parsed)
	}
	return segments, nil
}

// replaySegment replays one segment. Only the last segment may have a torn tail.
func (j *Journal) replaySegment(s *segment, r *replay, first, last bool) error {
	file, err := j.Folder.Open(s.name())
	if err != nil {
		return errors.Wrapf(err, "open %s", s.name())
	}
	size, err := file.Size()
	if err != nil {
		file.Close()
		return errors.Wrapf(err, "size of %s", s.name())
	}
	offset, cause, err := j.replayFrames(file, s, r, first, size)
	if err != nil {
		file.Close()
		return err
	}
	// Segments are removed only once a later one is durable, so the initial frame of the first
	// remaining segment cannot be torn.
	if cause != "" && (!last || first && offset == 0 && s.number > 1) {
		file.Close()
		return &CorruptionError{File: s.name(), Offset: offset, Cause: cause}
	}
	if cause != "" {
		if err := j.truncateTornTail(file, s, offset, size, cause); err != nil {
			file.Close()
			return err
		}
	}
	if offset == 0 {
		return j.removeIncomplete(file, s)
	}
	return j.activate(file, s, offset)
}

// replayFrames replays frames until the end of the file or the first invalid frame. It returns
// the offset where it stopped and why the frame there is invalid.
func (j *Journal) replayFrames(file File, s *segment, r *replay, first bool, size int64) (int64, string, error) {
	reader := bufio.NewReaderSize(file, 1<<16)
	var offset int64
	for offset < size {
		if first && offset == 0 {
			if raw, err := reader.Peek(headerSize); err == nil {
				if h, ok := parseHeader(raw); ok {
					j.nextFrame = h.number // not 1 when earlier segments were removed
				}
			}
		}
		operations, length, cause, err := readFrame(reader, j.nextFrame)
		if err != nil {
			return 0, "", errors.Wrapf(err, "read %s at offset %d", s.name(), offset)
		}
		if cause != "" {
			return offset, cause, nil
		}
		for i, operation := range operations {
			if (i == 0 && offset == 0) != (operation.GetSegment() != nil) {
				return 0, "", &CorruptionError{File: s.name(), Offset: offset, Cause: "expected a segment operation first and only there"}
			}
			// The checksum matches, so an invalid operation is not a torn write.
			if cause := r.apply(operation, s); cause != "" {
				return 0, "", &CorruptionError{File: s.name(), Offset: offset, Cause: cause}
			}
		}
		offset += length
		j.nextFrame++
	}
	if size == 0 {
		return 0, "the file is empty", nil
	}
	return offset, "", nil
}

// truncateTornTail truncates the file at offset. If a later frame follows, the invalid frame was
// synced, and a *CorruptionError is returned instead.
func (j *Journal) truncateTornTail(file File, s *segment, offset, size int64, cause string) error {
	later, err := containsLaterFrame(bufio.NewReader(io.NewSectionReader(file, offset+1, size-offset-1)), j.nextFrame)
	if err != nil {
		return errors.Wrapf(err, "read %s after offset %d", s.name(), offset)
	}
	if later {
		return &CorruptionError{File: s.name(), Offset: offset, Cause: cause + ", and a later frame follows"}
	}
	j.Log.Warn().Str("File", s.name()).Int64("Offset", offset).Int64("Bytes", size-offset).Str("Cause", cause).
		Msg("cut the torn tail of the journal")
	if err := file.Truncate(offset); err != nil {
		return errors.Wrapf(err, "truncate %s", s.name())
	}
	return errors.Wrapf(file.Sync(), "sync %s", s.name())
}

// removeIncomplete removes a segment whose creation was interrupted by a crash.
func (j *Journal) removeIncomplete(file File, s *segment) error {
	file.Close()
	if err := j.Folder.Remove(s.name()); err != nil {
		return errors.Wrapf(err, "remove %s", s.name())
	}
	return errors.Wrap(j.Folder.Sync(), "sync data folder")
}

// activate makes the segment the active one and seals the previous active segment.
func (j *Journal) activate(file File, s *segment, size int64) error {
	if j.file != nil {
		j.seal()
		if err := j.file.Close(); err != nil {
			return errors.Wrapf(err, "close %s", j.active.name())
		}
	}
	j.file, j.active, j.size = file, *s, size
	return nil
}

// restore initializes the journal from the replayed state.
func (j *Journal) restore(r *replay) error {
	j.diskID, j.state, j.base, j.last = r.content.DiskID, r.content.State, r.content.Base, r.last
	return j.removeCompacted()
}
