package journaler

// Folder is the data folder of a controller. *Disk implements Folder, and tests implement it to
// inject faults. Names are file names without a path.
type Folder interface {
	// Names returns the names of the files in ascending order.
	Names() ([]string, error)
	// Create creates an empty file and replaces an existing one of the same name.
	Create(name string) (File, error)
	// Open opens an existing file for reading and appending.
	Open(name string) (File, error)
	Rename(from, to string) error
	Remove(name string) error
	// Sync makes creations, renames and removals durable.
	Sync() error
}
