package journaler

import (
	"bytes"
	"io"
	"maps"
	"os"
	"slices"
)

// fakeFolder is an in-memory data folder with injectable errors. A simulated crash loses unsynced data.
type fakeFolder struct {
	files    map[string]*fakeFile
	durable  map[string]*fakeFile // files that survive a crash
	syncErr  error                // returned by Sync of the folder and of its files
	writeErr error                // returned by Write after half of the bytes
	syncs    int
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
	if f.syncErr != nil {
		return f.syncErr
	}
	f.durable = maps.Clone(f.files)
	return nil
}

// crash returns the folder as it is found after a crash. Of the unsynced data of each file only
// the first survivingBytes bytes remain.
func (f *fakeFolder) crash(survivingBytes int) *fakeFolder {
	next := newFakeFolder()
	for name, file := range f.durable {
		size := min(len(file.data), file.synced+survivingBytes)
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
	offset int64
}

func (h *fakeHandle) Read(p []byte) (int, error) {
	n, err := h.ReadAt(p, h.offset)
	h.offset += int64(n)
	if n > 0 {
		err = nil
	}
	return n, err
}

func (h *fakeHandle) ReadAt(p []byte, offset int64) (int, error) {
	return bytes.NewReader(h.data).ReadAt(p, offset)
}

func (h *fakeHandle) Write(p []byte) (int, error) {
	if err := h.folder.writeErr; err != nil {
		h.data = append(h.data, p[:len(p)/2]...)
		return len(p) / 2, err
	}
	h.data = append(h.data, p...)
	return len(p), nil
}

func (h *fakeHandle) Sync() error {
	if h.folder.syncErr != nil {
		return h.folder.syncErr
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
