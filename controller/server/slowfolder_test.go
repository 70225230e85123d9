package server

import (
	"time"

	"oleandertally/state/journaler"
)

// slowFolder is a data folder with a delay before each sync, to model a disk whose syncs take several milliseconds.
type slowFolder struct {
	*journaler.Disk
	delay time.Duration
}

func (s *slowFolder) Create(name string) (journaler.File, error) {
	file, err := s.Disk.Create(name)
	return &slowFile{File: file, delay: s.delay}, err
}

type slowFile struct {
	journaler.File
	delay time.Duration
}

func (f *slowFile) Sync() error {
	time.Sleep(f.delay)
	return f.File.Sync()
}
