package journaler

import (
	"os"
	"path/filepath"
	"syscall"

	"github.com/cockroachdb/errors"
)

const lockFileName = "LOCK"

// Disk is a locked folder of the file system.
type Disk struct {
	path string
	lock *os.File
}

// OpenDisk creates the folder at path if it does not exist and locks it until Close. The kernel
// also releases the lock when the process crashes.
func OpenDisk(path string) (*Disk, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, errors.Wrap(err, "create data folder")
	}
	lock, err := os.OpenFile(filepath.Join(path, lockFileName), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, errors.Wrap(err, "open lock of data folder")
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		lock.Close()
		if errors.Is(err, syscall.EWOULDBLOCK) {
			return nil, errors.Wrapf(ErrLocked, "%s: stop the other process or set another data folder", path)
		}
		return nil, errors.Wrap(err, "lock data folder")
	}
	// A new folder survives a crash only when its entry in the parent folder is synced.
	if err := syncFolder(filepath.Dir(path)); err != nil {
		lock.Close()
		return nil, err
	}
	return &Disk{path: path, lock: lock}, nil
}

// Names implements Folder.
func (d *Disk) Names() ([]string, error) {
	entries, err := os.ReadDir(d.path)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, entry := range entries {
		if entry.Type().IsRegular() {
			names = append(names, entry.Name())
		}
	}
	return names, nil
}

// Create implements Folder.
func (d *Disk) Create(name string) (File, error) {
	return openFile(filepath.Join(d.path, name), os.O_CREATE|os.O_TRUNC)
}

// Open implements Folder.
func (d *Disk) Open(name string) (File, error) { return openFile(filepath.Join(d.path, name), 0) }

// Rename implements Folder.
func (d *Disk) Rename(from, to string) error {
	return os.Rename(filepath.Join(d.path, from), filepath.Join(d.path, to))
}

// Remove implements Folder.
func (d *Disk) Remove(name string) error { return os.Remove(filepath.Join(d.path, name)) }

// Sync implements Folder.
func (d *Disk) Sync() error { return syncFolder(d.path) }

// Close releases the lock.
func (d *Disk) Close() error { return d.lock.Close() }

func syncFolder(path string) error {
	folder, err := os.Open(path)
	if err != nil {
		return errors.Wrap(err, "open folder to sync it")
	}
	defer folder.Close()
	return errors.Wrap(folder.Sync(), "sync folder")
}
