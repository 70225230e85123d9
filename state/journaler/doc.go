// Package journaler implements the write-ahead log of a controller. A data folder holds segment files, which are
// named by number. A segment is a sequence of frames. A frame holds one or more operations and is written and
// synced as a unit:
//
//	magic (4 bytes), length of the payload (4), number of the frame (8), CRC-32C of the payload (4),
//	CRC-32C of these 20 bytes (4), payload (a JournalFrame message); integers are little-endian.
//
// Segments are append-only: truncating the log appends a truncate operation. A frame is written only after the
// previous one was synced. A damaged frame that is followed by a later frame was therefore synced and corrupted
// afterwards, and Open returns a CorruptionError. A damaged frame at the end of the last segment is a write that
// a crash interrupted, and Open truncates it. Close writes an empty frame, so that corruption of the last data
// frame is also detected after a clean shutdown.
package journaler
