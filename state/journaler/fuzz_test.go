package journaler

import (
	"errors"
	"testing"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"
)

// Guards against a panic, an endless loop or an unbounded allocation when Open reads a damaged
// file, and against a second Open that returns different content.
func FuzzOpen(f *testing.F) {
	folder, _ := populatedFolder(f, 0)
	name := segment{number: 1}.name()
	data := folder.files[name].data
	f.Add(data)
	f.Add(data[:len(data)/2])
	f.Add(data[headerSize:])
	f.Add(append(data[:len(data):len(data)], data...))
	f.Add([]byte{})
	f.Add(magic)
	f.Fuzz(func(t *testing.T, data []byte) {
		folder := newFakeFolder()
		folder.files[name] = &fakeFile{folder: folder, data: data, synced: len(data)}
		journal := &Journal{Folder: folder, DiskID: testDiskID, Log: zerolog.Nop()}
		content, err := journal.Open()
		if err != nil {
			var corruption *CorruptionError
			must.True(t, errors.As(err, &corruption))
			return
		}
		journal = &Journal{Folder: folder, DiskID: testDiskID, Log: zerolog.Nop()}
		reopened, err := journal.Open()
		must.NoError(t, err)
		mustEqual(t, content, reopened)
	})
}
