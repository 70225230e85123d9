package snapshotter

import (
	"syscall"

	"oleandertally/state/journaler"
)

// faultyFolder wraps a data folder and fails the operation at which operationsLeft reaches zero.
type faultyFolder struct {
	journaler.Folder
	operationsLeft int
}

func (f *faultyFolder) injectFault() error {
	f.operationsLeft--
	if f.operationsLeft == 0 {
		return syscall.EIO
	}
	return nil
}

func (f *faultyFolder) Create(name string) (journaler.File, error) {
	if err := f.injectFault(); err != nil {
		return nil, err
	}
	file, err := f.Folder.Create(name)
	return &faultyFile{File: file, folder: f}, err
}

func (f *faultyFolder) Rename(from, to string) error {
	if err := f.injectFault(); err != nil {
		return err
	}
	return f.Folder.Rename(from, to)
}

func (f *faultyFolder) Remove(name string) error {
	if err := f.injectFault(); err != nil {
		return err
	}
	return f.Folder.Remove(name)
}

func (f *faultyFolder) Sync() error {
	if err := f.injectFault(); err != nil {
		return err
	}
	return f.Folder.Sync()
}

type faultyFile struct {
	journaler.File
	folder *faultyFolder
}

func (f *faultyFile) Write(p []byte) (int, error) {
	if err := f.folder.injectFault(); err != nil {
		n, _ := f.File.Write(p[:len(p)/2])
		return n, err
	}
	return f.File.Write(p)
}

func (f *faultyFile) Sync() error {
	if err := f.folder.injectFault(); err != nil {
		return err
	}
	return f.File.Sync()
}
