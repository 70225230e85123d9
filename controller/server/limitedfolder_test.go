package server

import (
	"sync"
	"syscall"

	"oleandertally/state/journaler"
)

// room is how many bytes the disk of one controller takes. It outlives the process.
type room struct {
	mutex sync.Mutex
	limit int64
	sizes map[string]int64
	peak  int64 // most bytes that the files have held together

	rejected int // writes that did not fit
}

// take adds bytes to a file if they fit.
func (r *room) take(name string, bytes int64) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	used := bytes + r.total()
	if used > r.limit {
		r.rejected++
		return false
	}
	r.peak = max(r.peak, used)
	r.sizes[name] += bytes
	return true
}

// set notes the size of a file; 0 frees its room.
func (r *room) set(name string, size int64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.sizes[name] = size
}

// move notes that a file has another name.
func (r *room) move(from, to string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.sizes[to] = r.sizes[from]
	delete(r.sizes, from)
}

// setLimit changes how many bytes the disk takes.
func (r *room) setLimit(limit int64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.limit = limit
}

// used returns how many bytes the files hold together.
func (r *room) used() int64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.total()
}

func (r *room) total() int64 {
	total := int64(0)
	for _, size := range r.sizes {
		total += size
	}
	return total
}

// clear notes that all files are gone.
func (r *room) clear() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	clear(r.sizes)
}

// use returns the most bytes that the files have held together, and the number of writes that did not fit.
func (r *room) use() (peak int64, rejected int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.peak, r.rejected
}

// limitedFolder is a data folder on a disk that takes a limited number of bytes.
type limitedFolder struct {
	*journaler.Disk
	room *room
}

func (f *limitedFolder) Create(name string) (journaler.File, error) {
	file, err := f.Disk.Create(name)
	f.room.set(name, 0)
	return &limitedFile{File: file, name: name, room: f.room}, err
}

func (f *limitedFolder) Open(name string) (journaler.File, error) {
	file, err := f.Disk.Open(name)
	if err != nil {
		return nil, err
	}
	return &limitedFile{File: file, name: name, room: f.room}, nil
}

func (f *limitedFolder) Rename(from, to string) error {
	f.room.move(from, to)
	return f.Disk.Rename(from, to)
}

func (f *limitedFolder) Remove(name string) error {
	f.room.set(name, 0)
	return f.Disk.Remove(name)
}

type limitedFile struct {
	journaler.File
	name string
	room *room
}

func (f *limitedFile) Write(p []byte) (int, error) {
	if !f.room.take(f.name, int64(len(p))) {
		return 0, syscall.ENOSPC
	}
	return f.File.Write(p)
}

func (f *limitedFile) Truncate(size int64) error {
	f.room.set(f.name, size)
	return f.File.Truncate(size)
}
