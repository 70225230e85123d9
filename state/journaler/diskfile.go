package journaler

import "os"

// diskFile implements File.
type diskFile struct {
	*os.File
}

// openFile opens a file with O_APPEND, so that a write cannot overwrite synced data.
func openFile(path string, flags int) (File, error) {
	file, err := os.OpenFile(path, flags|os.O_RDWR|os.O_APPEND, 0o600)
	if err != nil {
		return nil, err
	}
	return diskFile{file}, nil
}

// Size implements File.
func (f diskFile) Size() (int64, error) {
	info, err := f.Stat()
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}
