// Package snapshotter stores snapshots of a controller's state in its data folder, next to the journal. A snapshot
// file is named by the index of the last log entry that it covers and has this format:
//
//	magic (8 bytes), length of the header (4), header (a SnapshotHeader message), body,
//	length of the body (8), XXH64 of all bytes before (8); integers are little-endian.
//
// Save writes a snapshot under a temporary name, syncs and renames it, and syncs the folder before it removes
// earlier snapshots. I/O errors are permanent: the process must stop.
package snapshotter
