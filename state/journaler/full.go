package journaler

import (
	"syscall"

	"github.com/cockroachdb/errors"
)

// IsFull reports whether an error means that the disk has no room.
func IsFull(err error) bool { return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) }

// whileFull repeats a step that fails because the disk is full, as long as Full returns nil.
func (j *Journal) whileFull(step func() error) error {
	for {
		err := step()
		if err == nil || !IsFull(err) || j.Full == nil {
			return err
		}
		if err := j.Full(err); err != nil {
			return err
		}
	}
}

// append writes a frame after the last one. It removes what a failed write has left, so that the write can be repeated: a write that has not been
// synced may leave any part of the frame.
func (j *Journal) append(frame []byte) error {
	_, err := j.file.Write(frame)
	if err == nil {
		return nil
	}
	return errors.CombineErrors(err, j.file.Truncate(j.size))
}
