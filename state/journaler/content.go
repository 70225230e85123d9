package journaler

// Content is the recovered content of a data folder.
type Content struct {
	DiskID  uint64 // identity of the data folder
	State   HardState
	Base    uint64   // index of the last compacted record
	Records []Record // consecutive, from Base+1
}
