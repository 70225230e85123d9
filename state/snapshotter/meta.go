package snapshotter

// Meta describes a snapshot.
type Meta struct {
	Index uint64 // index of the last log entry that the snapshot covers
	Term  uint64 // term of that entry
	Extra []byte // opaque, at most MaxExtra bytes; consensus stores its list of servers here
}
