// Package journaler is the write-ahead log of a controller. One data folder holds segments named by number; a
// segment is a sequence of frames; a frame holds operations and is written and synced as one:
//
//	magic (4 bytes), length of the payload (4), number of the frame (8), CRC-32C of the payload (4),
//	CRC-32C of these 20 bytes (4), payload (a JournalFrame message); integers are little-endian.
//
// Files only grow: a truncation is an operation like any other. A frame is written after the one before it was
// synced, so a damaged frame with a later frame behind it was synced once and was damaged afterwards: Open
// refuses it. A damaged frame at the end of the last segment is a write that a crash interrupted: Open cuts it.
// Close writes an empty frame, so after a planned stop damage of the last data is found too.
package journaler
