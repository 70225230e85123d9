package snapshotter

// Meta describes a snapshot.
type Meta struct {
	Index uint64 // of the last entry that it covers
	Term  uint64 // of that entry
	Extra []byte // opaque, at most MaxExtra bytes; consensus keeps its servers here
}
