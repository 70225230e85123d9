package journaler

import (
	"bytes"
	"errors"
	"syscall"
	"testing"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

const testDiskID = 42

func openJournal(t must.T, folder Folder, size int64) (*Journal, Content) {
	t.Helper()
	journal := &Journal{Folder: folder, SegmentSize: size, DiskID: testDiskID, Log: zerolog.Nop()}
	content, err := journal.Open()
	must.NoError(t, err)
	return journal, content
}

func records(from, to, term uint64) Append {
	var appended Append
	for i := from; i <= to; i++ {
		appended.Records = append(appended.Records, Record{Index: i, Term: term, Data: []byte{byte(i), byte(term)}})
	}
	return appended
}

// mustRecover asserts the content that a newly opened journal reads.
func mustRecover(t must.T, folder Folder, size int64, wanted Content) {
	t.Helper()
	_, content := openJournal(t, folder, size)
	wanted.DiskID = testDiskID
	mustEqual(t, wanted, content)
}

func mustEqual(t must.T, wanted, got Content) {
	t.Helper()
	if len(wanted.Records) == 0 && len(got.Records) == 0 {
		wanted.Records, got.Records = nil, nil
	}
	must.Eq(t, wanted, got)
}

// Guards against operations that change the state in memory but are lost when the log is reopened.
func TestOperationsAreReadAgain(t *testing.T) {
	state := HardState{Term: 3, Vote: "a", VoteDisk: 9, Leader: "b", LeaderDisk: 8, LeaderTerm: 2}
	for name, test := range map[string]struct {
		operations []Operation
		wanted     Content
	}{
		"nothing":  {},
		"append":   {[]Operation{records(1, 3, 1)}, Content{Records: records(1, 3, 1).Records}},
		"truncate": {[]Operation{records(1, 3, 1), Truncate{2}}, Content{Records: records(1, 1, 1).Records}},
		"rewrite":  {[]Operation{records(1, 3, 1), Truncate{3}, records(3, 3, 2)}, Content{Records: append(records(1, 2, 1).Records, records(3, 3, 2).Records...)}},
		"persist":  {[]Operation{Persist{HardState{Term: 1}}, Persist{state}}, Content{State: state}},
		"compact":  {[]Operation{records(1, 3, 1), Compact{2}}, Content{Base: 2, Records: records(3, 3, 1).Records}},
		"reset":    {[]Operation{records(1, 3, 1), Reset{9}, records(10, 10, 4)}, Content{Base: 9, Records: records(10, 10, 4).Records}},
	} {
		t.Run(name, func(t *testing.T) {
			folder := newFakeFolder()
			journal, _ := openJournal(t, folder, 1)
			must.NoError(t, journal.Commit(test.operations...))
			mustRecover(t, folder.crash(0), 1, test.wanted)
			must.NoError(t, journal.Close())
			mustRecover(t, folder, 1, test.wanted)
		})
	}
}

// Guards against a caller's bug that writes contradicting records, such as a gap in the indexes.
func TestCommitRefusesInvalidOperations(t *testing.T) {
	for name, operation := range map[string]Operation{
		"gap": records(5, 5, 1), "truncate": Truncate{4}, "compacted": Truncate{1}, "compact": Compact{4}, "reset": Reset{0},
		"size": Append{[]Record{{Index: 4, Data: make([]byte, MaxRecord+1)}}},
	} {
		t.Run(name, func(t *testing.T) {
			journal, _ := openJournal(t, newFakeFolder(), 0)
			must.NoError(t, journal.Commit(records(1, 3, 1), Compact{1}))
			must.ErrorIs(t, journal.Commit(operation), ErrOutOfOrder)
		})
	}
}

// Guards against a retry after a failed sync, which can succeed although the kernel has dropped the data.
func TestFailureIsPermanent(t *testing.T) {
	for name, fail := range map[string]func(*fakeFolder, error){
		"sync":      func(f *fakeFolder, err error) { f.syncErr = err },
		"full disk": func(f *fakeFolder, err error) { f.writeErr = err },
	} {
		t.Run(name, func(t *testing.T) {
			folder := newFakeFolder()
			journal, _ := openJournal(t, folder, 0)
			must.NoError(t, journal.Commit(records(1, 1, 1)))
			fail(folder, syscall.ENOSPC)
			must.ErrorIs(t, journal.Commit(records(2, 2, 1)), syscall.ENOSPC)
			fail(folder, nil)
			syncs := folder.syncs
			must.ErrorIs(t, journal.Commit(records(3, 3, 1)), ErrFailed)
			must.NoError(t, journal.Close())
			must.Eq(t, syncs, folder.syncs)
			mustRecover(t, folder.crash(0), 0, Content{Records: records(1, 1, 1).Records})
			mustRecover(t, folder.crash(20), 0, Content{Records: records(1, 1, 1).Records})
		})
	}
}

// Guards against a process that ends because its disk is full for a while, and against the rest of a failed write between two frames.
func TestFullDisk(t *testing.T) {
	fillFor := func(folder *fakeFolder, attempts int, err error) func(error) error {
		folder.writeErr = syscall.ENOSPC
		return func(error) error {
			if attempts--; attempts == 0 {
				folder.writeErr = nil
				return err
			}
			return nil
		}
	}
	begin := func(t *testing.T) (*fakeFolder, *Journal) {
		folder := newFakeFolder()
		journal, _ := openJournal(t, folder, 1)
		must.NoError(t, journal.Commit(records(1, 1, 1)))
		return folder, journal
	}
	t.Run("room again", func(t *testing.T) {
		folder, journal := begin(t)
		journal.Full = fillFor(folder, 3, nil)
		must.NoError(t, journal.Commit(records(2, 2, 1)))
		must.NoError(t, journal.Commit(records(3, 3, 1)))
		mustRecover(t, folder.crash(0), 1, Content{Records: records(1, 3, 1).Records})
	})
	t.Run("in a new segment", func(t *testing.T) {
		folder, journal := begin(t)
		journal.SegmentSize = 1
		journal.Full = fillFor(folder, 2, nil)
		must.NoError(t, journal.Commit(records(2, 3, 1)))
		mustRecover(t, folder.crash(0), 1, Content{Records: records(1, 3, 1).Records})
	})
	t.Run("given up", func(t *testing.T) {
		folder, journal := begin(t)
		journal.Full = fillFor(folder, 2, errors.New("the process stops"))
		must.ErrorIs(t, journal.Commit(records(2, 2, 1)), ErrFailed)
		mustRecover(t, folder.crash(0), 1, Content{Records: records(1, 1, 1).Records})
	})
}

// Guards against two processes that write to the same data folder.
func TestDiskIsLocked(t *testing.T) {
	path := t.TempDir()
	first, err := OpenDisk(path)
	must.NoError(t, err)
	_, err = OpenDisk(path)
	must.ErrorIs(t, err, ErrLocked)
	must.NoError(t, first.Close())
	second, err := OpenDisk(path)
	must.NoError(t, err)
	journal, _ := openJournal(t, second, 1)
	must.NoError(t, journal.Commit(records(1, 2, 1)))
	must.NoError(t, journal.Commit(records(3, 4, 1), Compact{3}))
	must.NoError(t, journal.Close())
	mustRecover(t, second, 1, Content{Base: 3, Records: records(4, 4, 1).Records})
	must.NoError(t, second.Close())
}

// Guards against segments that are never removed after compaction.
func TestCompactionRemovesSegments(t *testing.T) {
	folder := newFakeFolder()
	journal, _ := openJournal(t, folder, 1)
	for i := uint64(1); i <= 10; i++ {
		must.NoError(t, journal.Commit(records(i, i, 1)))
	}
	must.Eq(t, 10, len(folder.files))
	must.NoError(t, journal.Commit(Compact{9}))
	must.Eq(t, 2, len(folder.files)) // record 10, and the compaction in a new segment
	must.NoError(t, journal.Commit(records(11, 11, 1), Reset{50}))
	must.Eq(t, 1, len(folder.files))
	mustRecover(t, folder, 1, Content{Base: 50})
}

// populatedFolder returns the folder of a closed journal and the content after each commit.
func populatedFolder(t must.T, size int64) (*fakeFolder, []Content) {
	folder := newFakeFolder()
	journal, content := openJournal(t, folder, size)
	contents := []Content{content}
	for _, operations := range [][]Operation{
		{records(1, 2, 1), Persist{HardState{Term: 1, Vote: "a"}}}, {records(3, 4, 1)}, {Truncate{4}, records(4, 5, 2)}, {Compact{1}},
	} {
		must.NoError(t, journal.Commit(operations...))
		_, content := openJournal(t, folder.crash(0), size)
		contents = append(contents, content)
	}
	must.NoError(t, journal.Close())
	return folder, contents
}

// Guards against corruption of synced data that Open returns as content or truncates as a torn
// tail. Each byte of each file is damaged in turn.
func TestDamageIsRefused(t *testing.T) {
	for name, size := range map[string]int64{"one segment": 0, "many segments": 1} {
		t.Run(name, func(t *testing.T) {
			folder, contents := populatedFolder(t, size)
			for file := range folder.files {
				for offset := range folder.files[file].data {
					damaged := folder.crash(0)
					damaged.files[file].data[offset] ^= 0x10
					journal := &Journal{Folder: damaged, Log: zerolog.Nop()}
					content, err := journal.Open()
					if err == nil {
						// Only the empty frame that Close wrote may be truncated.
						mustEqual(t, contents[len(contents)-1], content)
						continue
					}
					var corruption *CorruptionError
					must.True(t, errors.As(err, &corruption))
					must.ErrorContains(t, err, ".journal is damaged at offset ")
				}
			}
		})
	}
	t.Run("missing segment", func(t *testing.T) {
		folder, _ := populatedFolder(t, 1)
		must.MapContainsKey(t, folder.files, segment{number: 4}.name())
		delete(folder.files, segment{number: 3}.name())
		_, err := (&Journal{Folder: folder, Log: zerolog.Nop()}).Open()
		must.ErrorContains(t, err, "segment 3 is missing")
	})
}

// Guards against an interrupted write that makes Open fail, loses a synced frame or is truncated
// without a log line.
func TestTornTailIsTruncated(t *testing.T) {
	folder, contents := populatedFolder(t, 0)
	name := segment{number: 1}.name()
	matched := 0
	for size := range folder.files[name].data {
		torn := folder.crash(0)
		torn.files[name].data = torn.files[name].data[:size]
		var log bytes.Buffer
		journal := &Journal{Folder: torn, DiskID: testDiskID, Log: zerolog.New(&log)}
		content, err := journal.Open()
		must.NoError(t, err)
		for matched < len(contents)-1 && !sameState(contents[matched], content) {
			matched++
		}
		mustEqual(t, contents[matched], content)
		must.NoError(t, journal.Commit(records(journal.Last()+1, journal.Last()+1, 9)))
		_, reopened := openJournal(t, torn.crash(0), 0)
		must.Eq(t, len(content.Records)+1, len(reopened.Records))
		if log.Len() > 0 {
			must.StrContains(t, log.String(), "cut the torn tail")
		}
	}
	must.Eq(t, len(contents)-1, matched)
}

func sameState(a, b Content) bool {
	return a.State == b.State && a.Base == b.Base && len(a.Records) == len(b.Records) &&
		(len(a.Records) == 0 || a.Records[len(a.Records)-1].Term == b.Records[len(b.Records)-1].Term)
}

// model is a reference implementation that keeps the expected content in memory.
type model struct {
	Content
}

func (m model) last() uint64 { return m.Base + uint64(len(m.Records)) }

func (m *model) drawOperation(t *rapid.T) Operation {
	switch rapid.IntRange(0, 9).Draw(t, "operation") {
	case 0:
		m.State = HardState{Term: rapid.Uint64().Draw(t, "term"), Vote: rapid.String().Draw(t, "vote")}
		return Persist{m.State}
	case 1:
		if len(m.Records) > 0 {
			from := rapid.Uint64Range(m.Base+1, m.last()).Draw(t, "from")
			m.Records = m.Records[:from-m.Base-1]
			return Truncate{from}
		}
	case 2:
		through := rapid.Uint64Range(m.Base, m.last()).Draw(t, "through")
		m.Records = m.Records[through-m.Base:]
		m.Base = through
		return Compact{through}
	case 3:
		m.Base = rapid.Uint64Range(m.Base, m.last()+5).Draw(t, "reset")
		m.Records = nil
		return Reset{m.Base}
	}
	added := records(m.last()+1, m.last()+rapid.Uint64Range(1, 5).Draw(t, "count"), rapid.Uint64Range(1, 9).Draw(t, "term"))
	m.Records = append(m.Records[:len(m.Records):len(m.Records)], added.Records...)
	return added
}

// Guards against a log that differs from the committed operations after a sequence of commits,
// restarts and crashes.
func TestLogEqualsModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.SampledFrom([]int64{1, 200, 0}).Draw(t, "segment size")
		folder := newFakeFolder()
		journal, _ := openJournal(t, folder, size)
		m := &model{Content{DiskID: testDiskID}}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			var operations []Operation
			for range rapid.IntRange(1, 4).Draw(t, "operations") {
				operations = append(operations, m.drawOperation(t))
			}
			must.NoError(t, journal.Commit(operations...))
			switch rapid.IntRange(0, 5).Draw(t, "restart") {
			case 0:
				must.NoError(t, journal.Close())
			case 1:
				folder = folder.crash(rapid.IntRange(0, 100).Draw(t, "kept"))
			default:
				continue
			}
			var content Content
			journal, content = openJournal(t, folder, size)
			mustEqual(t, m.Content, content)
		}
		mustRecover(t, folder.crash(0), size, m.Content)
	})
}
