package server

import (
	"time"

	"github.com/rs/zerolog"

	"oleandertally/controller/dispatcher"
	"oleandertally/core/exporter"
)

// diskReport logs and counts what happens to the files of a controller. It is safe for concurrent use.
type diskReport struct {
	log     zerolog.Logger
	metrics *exporter.Controller
	logged  func(dispatcher.LogEvent) // counts the event of a log line; may be nil
}

// committed reports a synced write and the size of the log's files after it, in bytes.
func (r diskReport) committed(took time.Duration, journal int64) {
	r.metrics.Synced(took)
	r.metrics.Disk.SetJournal(journal)
}

// compacted reports that the log now begins after index, and the size of its files in bytes.
func (r diskReport) compacted(index uint64, journal int64) {
	r.count("LogCompacted")
	r.log.Info().Str("Event", "LogCompacted").Uint64("Through", index).Int64("JournalBytes", journal).Send()
}

// saved reports a snapshot that ends at index, and the size of its file in bytes.
func (r diskReport) saved(index uint64, size int64, took time.Duration) {
	r.count("SnapshotSaved")
	r.metrics.Disk.SnapshotSaved()
	r.metrics.Disk.SetSnapshot(size)
	r.log.Info().Str("Event", "SnapshotSaved").Uint64("Index", index).Int64("Bytes", size).Dur("TookMillis", took).Send()
}

// full logs a write that failed because the disk was full.
func (r diskReport) full(cause error) {
	r.count("DiskFull")
	r.log.Error().Str("Event", "DiskFull").Err(cause).Msg("the disk has no room; nothing is acknowledged until it has")
}

func (r diskReport) count(event string) {
	if r.logged != nil {
		r.logged(dispatcher.LogEvent{Event: event})
	}
}
