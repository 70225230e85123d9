package snapshotter

import (
	"bufio"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"oleandertally/state/journaler"
)

const (
	suffix   = ".snapshot"
	saving   = ".saving"   // written here; removed at the next start
	received = ".received" // from another controller, until it is installed
)

// Store holds the snapshots of one data folder. At most one Save and one Receiver are used at a time.
type Store struct {
	Folder journaler.Folder
	Log    zerolog.Logger
}

func fileName(index uint64) string { return fmt.Sprintf("%016x%s", index, suffix) }

// Clean removes what an interrupted Save or transfer left. It is called once, before other methods.
func (s *Store) Clean() error {
	names, err := s.Folder.Names()
	if err != nil {
		return errors.Wrap(err, "list data folder")
	}
	for _, name := range names {
		if strings.HasSuffix(name, saving) || strings.HasSuffix(name, received) {
			if err := s.Folder.Remove(name); err != nil {
				return errors.Wrapf(err, "remove %s", name)
			}
		}
	}
	return nil
}

// Newest opens the newest valid snapshot; the caller closes it. It returns ErrNone when there
// is no file and a *journaler.Damage when no file is valid. A caller that gets an older
// snapshot than the journal continues from must refuse to start.
func (s *Store) Newest() (*Snapshot, error) {
	indexes, err := s.indexes()
	if err != nil {
		return nil, err
	}
	var damage *journaler.CorruptionError
	for _, index := range slices.Backward(indexes) {
		snapshot, err := open(s.Folder, fileName(index))
		if err == nil && snapshot.Meta.Index != index {
			snapshot.Close()
			err = &journaler.CorruptionError{File: fileName(index), Cause: fmt.Sprintf("it covers index %d", snapshot.Meta.Index)}
		}
		if err == nil {
			return snapshot, nil
		}
		if !errors.As(err, &damage) {
			return nil, err
		}
		s.Log.Error().Err(err).Msg("snapshot is not valid, trying an older one")
	}
	if damage != nil {
		return nil, damage
	}
	return nil, ErrNoSnapshot
}

// Save stores what write writes as the snapshot of meta and returns once it survives a crash.
// Earlier snapshots are removed then; a reader that holds one open can finish.
func (s *Store) Save(meta Meta, write func(io.Writer) error) error {
	if len(meta.Extra) > MaxExtra {
		return errors.Newf("extra has %d bytes, expected at most %d", len(meta.Extra), MaxExtra)
	}
	name := fileName(meta.Index)
	if err := s.fill(name+saving, meta, write); err != nil {
		return errors.Wrapf(err, "save %s", name)
	}
	return s.publish(name+saving, meta.Index)
}

func (s *Store) fill(name string, meta Meta, write func(io.Writer) error) error {
	file, err := s.Folder.Create(name)
	if err != nil {
		return err
	}
	defer file.Close()
	buffer := bufio.NewWriterSize(file, MaxChunk)
	sum := newSummer(buffer)
	if err := sum.begin(meta); err != nil {
		return err
	}
	if err := write(sum); err != nil {
		return err
	}
	if err := sum.end(); err != nil {
		return err
	}
	if err := buffer.Flush(); err != nil {
		return err
	}
	return file.Sync()
}

// publish renames a synced file to its final name and then removes earlier snapshots.
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
		digits, ok := strings.CutSuffix(name, suffix)
		index, err := strconv.ParseUint(digits, 16, 64)
		if ok && err == nil && fileName(index) == name {
			indexes = append(indexes, index)
		}
	}
	slices.Sort(indexes)
	return indexes, nil
}
