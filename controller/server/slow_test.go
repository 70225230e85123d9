package server

import (
	"time"

	"oleandertally/state/journaler"
)

// slow is a data folder whose syncs take a given time longer, as those of a disk with several milliseconds do.
type slow struct {
	*journaler.Disk
	by time.Duration
}

func (s *slow) Create(name string) (journaler.File, error) {
	file, err := s.Disk.Create(name)
	return &slowFile{File: file, by: s.by}, err
}

type slowFile struct {
	journaler.File
	by time.Duration
}

func (f *slowFile) Sync() error {
	time.Sleep(f.by)
	return f.File.Sync()
}
