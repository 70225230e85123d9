package journaler

import (
	"bytes"
	"io"
	"maps"
	"os"
	"slices"
)

// fakeFolder is a data folder in memory that fails on request and forgets on a crash what was not synced.
type fakeFolder struct {
	files     map[string]*fakeFile
	durable   map[string]*fakeFile // what the folder holds after a crash
	failSync  error                // of any file or of the folder
	failWrite error                // after half of the bytes
	syncs     int
}

func newFakeFolder() *fakeFolder {
	return &fakeFolder{files: map[string]*fakeFile{}, durable: map[string]*fakeFile{}}
}

func (f *fakeFolder) Names() ([]string, error) { return slices.Sorted(maps.Keys(f.files)), nil }

func (f *fakeFolder) Create(name string) (File, error) {
	f.files[name] = &fakeFile{folder: f}
	return f.Open(name)
}

func (f *fakeFolder) Open(name string) (File, error) {
	file, ok := f.files[name]
	if !ok {
		return nil, os.ErrNotExist
	}
	return &fakeHandle{fakeFile: file}, nil
}

func (f *fakeFolder) Rename(from, to string) error {
	f.files[to] = f.files[from]
	delete(f.files, from)
	return nil
}

func (f *fakeFolder) Remove(name string) error {
	delete(f.files, name)
	return nil
}

func (f *fakeFolder) Sync() error {
	if f.failSync != nil {
		return f.failSync
	}
	f.durable = maps.Clone(f.files)
	return nil
}

// crash returns the folder as the next process finds it: of what was not synced, the first
// kept bytes of each file are there.
func (f *fakeFolder) crash(kept int) *fakeFolder {
	next := newFakeFolder()
	for name, file := range f.durable {
		size := min(len(file.data), file.synced+kept)
		next.files[name] = &fakeFile{folder: next, data: bytes.Clone(file.data[:size]), synced: size}
	}
	next.durable = maps.Clone(next.files)
	return next
}

type fakeFile struct {
	folder *fakeFolder
	data   []byte
	synced int
}

// fakeHandle is an open file with its own read position.
type fakeHandle struct {
	*fakeFile
	at int64
}

func (h *fakeHandle) Read(p []byte) (int, error) {
	n, err := h.ReadAt(p, h.at)
	h.at += int64(n)
	if n > 0 {
		err = nil
	}
	return n, err
}

func (h *fakeHandle) ReadAt(p []byte, at int64) (int, error) {
	return bytes.NewReader(h.data).ReadAt(p, at)
}

func (h *fakeHandle) Write(p []byte) (int, error) {
	if err := h.folder.failWrite; err != nil {
		h.data = append(h.data, p[:len(p)/2]...)
		return len(p) / 2, err
	}
	h.data = append(h.data, p...)
	return len(p), nil
}

func (h *fakeHandle) Sync() error {
	if h.folder.failSync != nil {
		return h.folder.failSync
	}
	h.folder.syncs++
	h.synced = len(h.data)
	return nil
}

func (h *fakeHandle) Truncate(size int64) error {
	h.data = h.data[:size]
	h.synced = min(h.synced, int(size))
	return nil
}

func (h *fakeHandle) Size() (int64, error) { return int64(len(h.data)), nil }
func (h *fakeHandle) Close() error         { return nil }

var _ io.Closer = (*fakeHandle)(nil)
