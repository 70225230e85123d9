// Package snapshotter stores snapshots of a controller's state in its data folder, beside the journal. A file
// is named for the index of the last entry that it covers:
//
//	magic (8 bytes), length of the header (4), header (a SnapshotHeader message), body,
//	length of the body (8), XXH64 of all bytes before (8); integers are little-endian.
//
// A snapshot is written under another name, synced and renamed, and the folder is synced, before earlier ones
// are removed. An error of the disk is permanent: the process must stop.
package snapshotter
