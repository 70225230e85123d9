package server

import (
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"oleandertally/state/journaler"
)

var errDisk = errors.New("the disk is broken")

// failingFolder is a data folder whose files fail to sync while fail is set.
type failingFolder struct {
	*journaler.Disk
	fail atomic.Bool
}

func (f *failingFolder) Create(name string) (journaler.File, error) {
	file, err := f.Disk.Create(name)
	return &failingFile{File: file, folder: f}, err
}

type failingFile struct {
	journaler.File
	folder *failingFolder
}

func (f *failingFile) Sync() error {
	if f.folder.fail.Load() {
		return errDisk
	}
	return f.File.Sync()
}
