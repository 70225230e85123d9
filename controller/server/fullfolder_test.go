package server

import (
	"sync/atomic"
	"syscall"

	"oleandertally/state/journaler"
)

// fullFolder is a data folder whose files take no more bytes while full is set.
type fullFolder struct {
	*journaler.Disk
	full     atomic.Bool
	rejected atomic.Int32
}

func (f *fullFolder) Create(name string) (journaler.File, error) {
	file, err := f.Disk.Create(name)
	return &fullFile{File: file, folder: f}, err
}

type fullFile struct {
	journaler.File
	folder *fullFolder
}

func (f *fullFile) Write(p []byte) (int, error) {
	if f.folder.full.Load() {
		f.folder.rejected.Add(1)
		return 0, syscall.ENOSPC
	}
	return f.File.Write(p)
}
