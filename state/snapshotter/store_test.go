package snapshotter

import (
	"bytes"
	"io"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"

	"oleandertally/state/journaler"
)

func newStore(t *testing.T) (*Store, string) {
	path := t.TempDir()
	disk, err := journaler.OpenDisk(path)
	must.NoError(t, err)
	t.Cleanup(func() { must.NoError(t, disk.Close()) })
	return &Store{Folder: disk, Log: zerolog.Nop()}, path
}

func save(store *Store, index uint64, body []byte) error {
	meta := Meta{Index: index, Term: 2, Extra: []byte("servers")}
	_, err := store.Save(meta, func(w io.Writer) error {
		_, err := w.Write(body)
		return err
	})
	return err
}

// mustLoad asserts the newest snapshot that a new process finds.
func mustLoad(t *testing.T, store *Store, index uint64, body []byte) {
	t.Helper()
	must.NoError(t, store.Clean())
	snapshot, err := store.Newest()
	must.NoError(t, err)
	defer snapshot.Close()
	must.Eq(t, Meta{Index: index, Term: 2, Extra: []byte("servers")}, snapshot.Meta)
	read, err := io.ReadAll(snapshot.Body())
	must.NoError(t, err)
	must.True(t, bytes.Equal(body, read))
}

func mustListFiles(t *testing.T, store *Store, names ...string) {
	t.Helper()
	found, err := store.Folder.Names()
	must.NoError(t, err)
	must.Eq(t, append(names, "LOCK"), found)
}

// Guards against a saved snapshot that cannot be read, and against old snapshots that fill the disk.
func TestSaveReplacesOlder(t *testing.T) {
	store, _ := newStore(t)
	_, err := store.Newest()
	must.ErrorIs(t, err, ErrNoSnapshot)
	large := bytes.Repeat([]byte("state"), MaxChunk)
	must.NoError(t, save(store, 9, []byte("first")))
	opened, err := store.Newest()
	must.NoError(t, err)
	must.NoError(t, save(store, 300, large))
	mustLoad(t, store, 300, large)
	mustListFiles(t, store, fileName(300))
	read, err := io.ReadAll(opened.Body())
	must.NoError(t, err)
	must.Eq(t, "first", string(read))
	must.NoError(t, opened.Close())
}

// Guards against losing the previous snapshot when a Save fails. The test fails each I/O operation of Save in turn.
func TestFailedSaveKeepsOlder(t *testing.T) {
	failed := 0
	for operationsLeft := 1; ; operationsLeft++ {
		store, _ := newStore(t)
		must.NoError(t, save(store, 1, []byte("first")))
		faulty := &Store{Folder: &faultyFolder{Folder: store.Folder, operationsLeft: operationsLeft}, Log: zerolog.Nop()}
		if save(faulty, 2, []byte("second")) == nil {
			break
		}
		failed++
		must.NoError(t, store.Clean())
		snapshot, err := store.Newest()
		must.NoError(t, err)
		body := map[uint64]string{1: "first", 2: "second"}[snapshot.Meta.Index]
		must.NoError(t, snapshot.Close())
		mustLoad(t, store, snapshot.Meta.Index, []byte(body))
	}
	must.Eq(t, 6, failed) // create, write, sync, rename, sync of the folder, remove
}

// Guards against loading a damaged or truncated snapshot, and against reporting ErrNoSnapshot
// when the only snapshot is damaged.
func TestDamageIsNotRead(t *testing.T) {
	store, path := newStore(t)
	must.NoError(t, save(store, 2, []byte("state")))
	file := filepath.Join(path, fileName(2))
	data, err := os.ReadFile(file)
	must.NoError(t, err)
	for offset := range data {
		damaged := bytes.Clone(data)
		damaged[offset] ^= 1
		must.NoError(t, os.WriteFile(file, damaged, 0o600))
		_, err := store.Newest()
		must.ErrorContains(t, err, fileName(2)+" is damaged")
		must.NoError(t, os.WriteFile(file, data[:offset], 0o600))
		_, err = store.Newest()
		must.ErrorContains(t, err, fileName(2)+" is damaged")
	}
	t.Run("older is valid", func(t *testing.T) {
		must.NoError(t, os.Rename(file, filepath.Join(path, fileName(3))))
		must.NoError(t, save(store, 1, []byte("older")))
		mustLoad(t, store, 1, []byte("older"))
	})
}

func transfer(t *testing.T, from, to *Store, modify func(*Chunk)) (*Receiver, error) {
	snapshot, err := from.Newest()
	must.NoError(t, err)
	defer snapshot.Close()
	receiver, err := to.Receive()
	must.NoError(t, err)
	for offset := int64(0); ; {
		chunk, err := snapshot.Chunk(offset)
		must.NoError(t, err)
		must.LessEq(t, MaxChunk, len(chunk.Data))
		offset += int64(len(chunk.Data))
		modify(&chunk)
		meta, err := receiver.Add(chunk)
		if err != nil || meta != nil {
			return receiver, err
		}
	}
}

// Guards against installing a snapshot that differs from the sender's.
func TestTransfer(t *testing.T) {
	body := bytes.Repeat([]byte("state"), MaxChunk)
	from, _ := newStore(t)
	must.NoError(t, save(from, 5, body))
	t.Run("whole", func(t *testing.T) {
		to, _ := newStore(t)
		must.NoError(t, save(to, 3, []byte("older")))
		receiver, err := transfer(t, from, to, func(*Chunk) {})
		must.NoError(t, err)
		must.NoError(t, receiver.Install())
		mustLoad(t, to, 5, body)
		mustListFiles(t, to, fileName(5))
	})
	t.Run("not installed", func(t *testing.T) {
		to, _ := newStore(t)
		must.NoError(t, save(to, 3, []byte("older")))
		_, err := transfer(t, from, to, func(*Chunk) {})
		must.NoError(t, err)
		mustLoad(t, to, 3, []byte("older"))
	})
	for name, modify := range map[string]func(*Chunk){
		"damaged": func(c *Chunk) { c.Data[len(c.Data)-1]++ },
		"order":   func(c *Chunk) { c.Offset++ },
		"early":   func(c *Chunk) { c.Last = true },
		"size":    func(c *Chunk) { c.Data = make([]byte, MaxChunk+1) },
	} {
		t.Run(name, func(t *testing.T) {
			to, _ := newStore(t)
			receiver, err := transfer(t, from, to, modify)
			must.ErrorIs(t, err, ErrTransfer)
			must.ErrorIs(t, receiver.Install(), ErrTransfer)
			must.NoError(t, receiver.Drop())
			mustListFiles(t, to)
		})
	}
	t.Run("full disk", func(t *testing.T) {
		to, _ := newStore(t)
		to.Folder = &faultyFolder{Folder: to.Folder, operationsLeft: 3}
		_, err := transfer(t, from, to, func(*Chunk) {})
		must.ErrorIs(t, err, syscall.EIO)
	})
}
