package snapshotter

import (
	"syscall"

	"oleandertally/state/journaler"
)

// faultyFolder fails one operation of a real data folder: the one at which left reaches zero.
type faultyFolder struct {
	journaler.Folder
	left int
}

func (f *faultyFolder) fail() error {
	f.left--
	if f.left == 0 {
		return syscall.EIO
	}
	return nil
}

func (f *faultyFolder) Create(name string) (journaler.File, error) {
	if err := f.fail(); err != nil {
		return nil, err
	}
	file, err := f.Folder.Create(name)
	return &faultyFile{File: file, folder: f}, err
}

func (f *faultyFolder) Rename(from, to string) error {
	if err := f.fail(); err != nil {
		return err
	}
	return f.Folder.Rename(from, to)
}

func (f *faultyFolder) Remove(name string) error {
	if err := f.fail(); err != nil {
		return err
	}
	return f.Folder.Remove(name)
}

func (f *faultyFolder) Sync() error {
	if err := f.fail(); err != nil {
		return err
	}
	return f.Folder.Sync()
}

type faultyFile struct {
	journaler.File
	folder *faultyFolder
}

func (f *faultyFile) Write(p []byte) (int, error) {
	if err := f.folder.fail(); err != nil {
		n, _ := f.File.Write(p[:len(p)/2])
		return n, err
	}
	return f.File.Write(p)
}

func (f *faultyFile) Sync() error {
	if err := f.folder.fail(); err != nil {
		return err
	}
	return f.File.Sync()
}
