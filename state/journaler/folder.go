package journaler

// Folder is the data folder of one controller. *Disk implements it; tests replace it to inject
// faults. Names are plain file names.
type Folder interface {
	// Names returns the files, in ascending order.
	Names() ([]string, error)
	// Create returns an empty file, replacing an earlier one.
	Create(name string) (File, error)
	// Open returns a file for reading and appending.
	Open(name string) (File, error)
	Rename(from, to string) error
	Remove(name string) error
	// Sync makes creations, renames and removals durable.
	Sync() error
}
