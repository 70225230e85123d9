package snapshotter

import (
	"bytes"
	"syscall"
	"testing"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"

	"oleandertally/state/journaler"
)

// fullFolder is a data folder whose files take bytes until room is used up.
type fullFolder struct {
	journaler.Folder
	room int
}

func (f *fullFolder) Create(name string) (journaler.File, error) {
	file, err := f.Folder.Create(name)
	return &fullFile{File: file, folder: f}, err
}

type fullFile struct {
	journaler.File
	folder *fullFolder
}

func (f *fullFile) Write(p []byte) (int, error) {
	if len(p) > f.folder.room {
		n, _ := f.File.Write(p[:f.folder.room])
		f.folder.room -= n
		return n, syscall.ENOSPC
	}
	f.folder.room -= len(p)
	return f.File.Write(p)
}

// Guards against a snapshot that does not fit on a full disk and keeps the room that it took, so that the log, whose next entries would
// call for a smaller snapshot, can write nothing either.
func TestFailedSaveFreesItsRoom(t *testing.T) {
	store, _ := newStore(t)
	must.NoError(t, save(store, 1, []byte("first")))
	full := &Store{Folder: &fullFolder{Folder: store.Folder, room: 2 * MaxChunk}, Log: zerolog.Nop()}
	err := save(full, 2, bytes.Repeat([]byte("state"), MaxChunk))
	must.True(t, journaler.IsFull(err))
	mustListFiles(t, store, fileName(1))
	mustLoad(t, store, 1, []byte("first"))
}
