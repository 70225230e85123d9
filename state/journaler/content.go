package journaler

// Content is what the data folder held when it was opened.
type Content struct {
	DiskID  uint64 // identity of the data folder
	State   HardState
	Base    uint64   // records up to Base are compacted away
	Records []Record // consecutive, from Base+1
}
