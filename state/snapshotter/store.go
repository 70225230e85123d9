package snapshotter

import (
	"bufio"
	"fmt"
	"io"
	"io/fs"
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"oleandertally/state/journaler"
)

const (
	snapshotSuffix = ".snapshot"
	savingSuffix   = ".saving"   // temporary file of an unfinished Save; Clean removes it
	receivedSuffix = ".received" // file of a Receiver before Install; Clean removes it
)

// Store manages the snapshots of one data folder. At most one Save and one Receiver may be active at a time.
type Store struct {
	Folder journaler.Folder
	Log    zerolog.Logger
}

func fileName(index uint64) string { return fmt.Sprintf("%016x%s", index, snapshotSuffix) }

// Clean removes the files of an interrupted Save or transfer. It is called once, before other methods.
func (s *Store) Clean() error {
	names, err := s.Folder.Names()
	if err != nil {
		return errors.Wrap(err, "list data folder")
	}
	for _, name := range names {
		if strings.HasSuffix(name, savingSuffix) || strings.HasSuffix(name, receivedSuffix) {
			if err := s.Folder.Remove(name); err != nil {
				return errors.Wrapf(err, "remove %s", name)
			}
		}
	}
	return nil
}

// Newest opens the newest valid snapshot, which must be closed after use. It returns ErrNoSnapshot
// if there is no file and a *journaler.CorruptionError if no file is valid. If the snapshot
// ends before the base of the journal, the process must refuse to start.
func (s *Store) Newest() (*Snapshot, error) {
	indexes, err := s.indexes()
	if err != nil {
		return nil, err
	}
	var corruption *journaler.CorruptionError
	for _, index := range slices.Backward(indexes) {
		snapshot, err := openSnapshot(s.Folder, fileName(index))
		if err == nil && snapshot.Meta.Index != index {
			snapshot.Close()
			err = &journaler.CorruptionError{File: fileName(index), Cause: fmt.Sprintf("it covers index %d", snapshot.Meta.Index)}
		}
		if err == nil {
			return snapshot, nil
		}
		if !errors.As(err, &corruption) {
			return nil, err
		}
		s.Log.Error().Err(err).Msg("snapshot is not valid, trying an older one")
	}
	if corruption != nil {
		return nil, corruption
	}
	return nil, ErrNoSnapshot
}

// Save stores the output of write as the body of a snapshot. Once the file is durable, Save removes
// earlier snapshots and returns the size of the file in bytes. Snapshots that are open stay readable.
func (s *Store) Save(meta Meta, write func(io.Writer) error) (int64, error) {
	if len(meta.Extra) > MaxExtra {
		return 0, errors.Newf("extra has %d bytes, expected at most %d", len(meta.Extra), MaxExtra)
	}
	name := fileName(meta.Index)
	size, err := s.writeFile(name+savingSuffix, meta, write)
	if err != nil {
		err = errors.CombineErrors(err, s.removeUnfinished(name+savingSuffix))
		return 0, errors.Wrapf(err, "save %s", name)
	}
	return size, s.publish(name+savingSuffix, meta.Index)
}

// removeUnfinished removes what a failed Save has written: on a full disk, it would keep the room that the log needs.
func (s *Store) removeUnfinished(name string) error {
	err := s.Folder.Remove(name)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	return errors.Wrapf(err, "remove %s", name)
}

// writeFile writes and syncs a snapshot file, and returns its size in bytes.
func (s *Store) writeFile(name string, meta Meta, write func(io.Writer) error) (int64, error) {
	file, err := s.Folder.Create(name)
	if err != nil {
		return 0, err
	}
	defer file.Close()
	buffer := bufio.NewWriterSize(file, MaxChunk)
	checksummed := newChecksumWriter(buffer)
	if err := checksummed.writeHeader(meta); err != nil {
		return 0, err
	}
	if err := write(checksummed); err != nil {
		return 0, err
	}
	if err := checksummed.writeTrailer(); err != nil {
		return 0, err
	}
	if err := buffer.Flush(); err != nil {
		return 0, err
	}
	if err := file.Sync(); err != nil {
		return 0, err
	}
	return file.Size()
}

// publish renames a synced file to its final name and removes earlier snapshots once the rename is durable.
func (s *Store) publish(name string, index uint64) error {
	if err := s.Folder.Rename(name, fileName(index)); err != nil {
		return errors.Wrapf(err, "rename %s", name)
	}
	if err := s.Folder.Sync(); err != nil {
		return errors.Wrap(err, "sync data folder")
	}
	indexes, err := s.indexes()
	if err != nil {
		return err
	}
	for _, older := range indexes {
		if older < index {
			if err := s.Folder.Remove(fileName(older)); err != nil {
				return errors.Wrapf(err, "remove %s", fileName(older))
			}
		}
	}
	return nil
}

// indexes returns the indexes of the stored snapshots, in ascending order.
func (s *Store) indexes() ([]uint64, error) {
	names, err := s.Folder.Names()
	if err != nil {
		return nil, errors.Wrap(err, "list data folder")
	}
	var indexes []uint64
	for _, name := range names {
		digits, ok := strings.CutSuffix(name, snapshotSuffix)
		index, err := strconv.ParseUint(digits, 16, 64)
		if ok && err == nil && fileName(index) == name {
			indexes = append(indexes, index)
		}
	}
	slices.Sort(indexes)
	return indexes, nil
}
